import type { Configuration, Route, Team } from '@currantgap/model';
import { Section, Severity, type Finding } from './finding.ts';

/** Longest specification of a submission in bytes; a body must hold at least that. */
const SPEC_BYTES = 4_000;

/** Finds entries that are wrong, that can never match, and limits that contradict each other. */
export function checkConfiguration(configuration: Configuration): Finding[] {
  return [
    ...checkNames(configuration),
    ...configuration.routes.flatMap((route) => checkRoute(route, configuration)),
    ...checkOverlaps(configuration.routes),
    ...checkServices(configuration),
    ...configuration.teams.flatMap((team) => checkTeam(team, configuration)),
    ...checkKeys(configuration.teams),
    ...checkLimits(configuration),
  ];
}

function checkNames({ routes, services, teams }: Configuration): Finding[] {
  const sections: [Section, readonly { readonly name: string }[]][] = [
    [Section.Routes, routes],
    [Section.Services, services],
    [Section.Teams, teams],
  ];
  return sections.flatMap(([section, entries]) =>
    listRepeated(entries.map(({ name }) => name)).map((name) =>
      createError(section, name, 'The name stands twice. Give each entry a name of its own.'),
    ),
  );
}

function checkRoute(route: Route, { services, teams }: Configuration): Finding[] {
  const { name, stretch, maxAttempts, pathPrefix, advice } = route;
  const findings: Finding[] = [];
  const addError = (message: string) => findings.push(createError(Section.Routes, name, message));
  const service = services.find((candidate) => candidate.name === route.service);
  if (service === undefined) {
    addError(`There is no service "${route.service}". Name one of the services.`);
  } else if (service.isSpare) {
    addError(
      `Service "${route.service}" is the spare pool, whose VMs are off. Name another service.`,
    );
  }
  if (!pathPrefix.startsWith('/')) {
    addError(`No path begins with "${pathPrefix}". Begin the prefix with a slash.`);
  }
  if (/[\s/]/.test(route.host) || route.host === '') {
    addError(`No request has the host "${route.host}". Write a host name.`);
  }
  if (stretch <= 0) addError(`A stretch of ${stretch} leaves no time to work. Write 1 or more.`);
  if (maxAttempts < 1)
    addError(`With ${maxAttempts} attempts no task can run. Allow at least one.`);
  if (!route.isPublic && teams.every(({ keys }) => keys.length === 0)) {
    addError('No team has a key for it. Add a key or make the route public.');
  }
  if (advice !== undefined && advice.validMs < advice.decideMs + advice.eachMs) {
    addError('Tickets expire before the next call for advice can end. Raise their validity.');
  }
  return findings;
}

/** Finds routes of one host of which one takes requests that the other's prefix matches too. */
function checkOverlaps(routes: readonly Route[]): Finding[] {
  const findings: Finding[] = [];
  for (const [position, route] of routes.entries()) {
    for (const [otherPosition, other] of routes.entries()) {
      if (route === other || route.host !== other.host) continue;
      if (!other.pathPrefix.startsWith(route.pathPrefix)) continue;
      const isSame = other.pathPrefix === route.pathPrefix;
      // Of two equal prefixes only one can be found; it is reported once.
      if (isSame && position < otherPosition) continue;
      const message = isSame
        ? `Route "${other.name}" has the same host and prefix, so this one never matches. Remove one.`
        : `Route "${other.name}" takes what begins with "${other.pathPrefix}". Check that it should.`;
      const severity = isSame ? Severity.Error : Severity.Warning;
      findings.push({ severity, section: Section.Routes, name: route.name, message });
    }
  }
  return findings;
}

function checkServices({ services, routes }: Configuration): Finding[] {
  const [firstSpare, ...furtherSpares] = services.filter(({ isSpare }) => isSpare);
  return [
    ...services
      .filter(({ name, isSpare }) => !isSpare && !routes.some((route) => route.service === name))
      .map(({ name }) =>
        createWarning(
          Section.Services,
          name,
          'No route leads here, so its VMs get no work. Add a route or make it the spare pool.',
        ),
      ),
    ...furtherSpares.map(({ name }) =>
      createWarning(
        Section.Services,
        name,
        `Only the first spare pool, "${firstSpare?.name ?? ''}", is used. Keep one.`,
      ),
    ),
  ];
}

function checkTeam({ name, keys, weight, cap }: Team, { routes }: Configuration): Finding[] {
  const findings: Finding[] = [];
  if (weight <= 0) {
    findings.push(
      createError(
        Section.Teams,
        name,
        `A weight of ${weight} leaves the team nothing when all is full. Write more than 0.`,
      ),
    );
  }
  if (Math.min(cap.cpuMillis, cap.memoryMb, cap.gpus) < 0) {
    const message = 'A limit is below 0. Write 0 for no limit.';
    findings.push(createError(Section.Teams, name, message));
  }
  if (keys.length === 0 && routes.every(({ isPublic }) => !isPublic)) {
    const message = 'The team has no key and no route is public. Add a key.';
    findings.push(createWarning(Section.Teams, name, message));
  }
  return findings;
}

function checkKeys(teams: readonly Team[]): Finding[] {
  return teams.flatMap(({ name, keys }, position) => {
    const earlier = teams
      .slice(0, position)
      .filter((other) => other.keys.some((key) => keys.includes(key)));
    return earlier.map((other) =>
      createError(
        Section.Teams,
        name,
        `Team "${other.name}" has one of its keys, too. Withdraw it from one of them.`,
      ),
    );
  });
}

function checkLimits({ limits }: Configuration): Finding[] {
  const findings: Finding[] = [];
  if (limits.bodyBytes < SPEC_BYTES) {
    const message = `A specification may have ${SPEC_BYTES} bytes, the body only ${limits.bodyBytes}. Raise it.`;
    findings.push(createError(Section.Limits, 'body size', message));
  }
  if (limits.idleTimeoutMs < limits.headerTimeoutMs) {
    const message =
      'Connections count as idle before their headers are due. Raise the idle timeout.';
    findings.push(createWarning(Section.Limits, 'idle timeout', message));
  }
  return findings;
}

function createError(section: Section, name: string, message: string): Finding {
  return { severity: Severity.Error, section, name, message };
}

function createWarning(section: Section, name: string, message: string): Finding {
  return { severity: Severity.Warning, section, name, message };
}

function listRepeated(names: readonly string[]): string[] {
  return [...new Set(names.filter((name, position) => names.indexOf(name) < position))];
}
