import type { Configuration, Route } from '@currantgap/model';

/** Where a call goes. */
export interface RouteMatch {
  readonly route: Route;
  /** What follows the prefix; empty for the queue itself. */
  readonly rest: string;
}

/** Finds routes and teams of one configuration. */
export class RouteTable {
  readonly configuration: Configuration;
  readonly #byHost = new Map<string, Route[]>();
  readonly #teamByKey = new Map<string, string>();

  constructor(configuration: Configuration) {
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const routes = this.#byHost.get(route.host) ?? [];
      routes.push(route);
      this.#byHost.set(route.host, routes);
    }
    for (const routes of this.#byHost.values()) {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
    for (const team of configuration.teams) {
      for (const key of team.keys) this.#teamByKey.set(key, team.name);
    }
  }

  /** Finds the route with the longest prefix of the path on this host. */
  match(host: string, path: string): RouteMatch | undefined {
    const name = host.split(':')[0]?.toLowerCase() ?? '';
    const route = this.#byHost.get(name)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    return route === undefined ? undefined : { route, rest: path.slice(route.pathPrefix.length) };
  }

  /** Finds the team of an `Authorization` header. */
  findTeam(authorization: string | undefined): string | undefined {
    const [scheme, key] = authorization?.split(' ') ?? [];
    if (scheme?.toLowerCase() !== 'bearer' || key === undefined) return undefined;
    return this.#teamByKey.get(key);
  }
}
