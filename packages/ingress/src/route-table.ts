import type { Configuration, Route } from '@currantgap/model';

/** Route that a request path belongs to. */
export interface RouteMatch {
  readonly route: Route;
  /** Path after the route's prefix: a submission id, or empty for the route's queue. */
  readonly suffix: string;
}

/** Looks up routes by host and path, and teams by API key, in one configuration. */
export class RouteTable {
  readonly configuration: Configuration;
  readonly #routesByHost = new Map<string, Route[]>();
  readonly #teamByKey = new Map<string, string>();

  constructor(configuration: Configuration) {
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const routes = this.#routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.#routesByHost.set(route.host, routes);
    }
    for (const routes of this.#routesByHost.values()) {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
    for (const team of configuration.teams) {
      for (const key of team.keys) this.#teamByKey.set(key, team.name);
    }
  }

  /** Finds the host's route with the longest prefix of the path; a port in `host` is ignored. */
  match(host: string, path: string): RouteMatch | undefined {
    const hostname = host.split(':')[0]?.toLowerCase() ?? '';
    const route = this.#routesByHost
      .get(hostname)
      ?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
    return route === undefined ? undefined : { route, suffix: path.slice(route.pathPrefix.length) };
  }

  /** Finds the team whose key an `Authorization: Bearer` header carries. */
  findTeam(authorization: string | undefined): string | undefined {
    const [scheme, key] = authorization?.split(' ') ?? [];
    if (scheme?.toLowerCase() !== 'bearer' || key === undefined) return undefined;
    return this.#teamByKey.get(key);
  }
}
