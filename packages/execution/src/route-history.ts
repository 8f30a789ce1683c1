import type { Configuration, Route } from '@currantgap/model';
import type { Row } from '@currantgap/store';
import type { Clock } from '@currantgap/tasks';
import type { Logger } from '@currantgap/telemetry';
import { FencedRow, type FencedWriter } from './fenced-writer.ts';
import type { Fleet } from './fleet.ts';
import type { JobRecord } from './job-index.ts';
import type { Reconciliation } from './reconciliation.ts';

/** Table with a row for each route whose tasks the owner may start. */
export const ROUTE_TABLE = 'routes';
/** Milliseconds between searches for services that a route no longer uses. */
const SEARCH_PERIOD_MS = 1_000;

/** What is stored of a route. */
interface RouteEntry {
  /** Services whose targets may run tasks of the route. */
  readonly services: readonly string[];
}

/** Options of a route history. */
export interface RouteHistoryOptions {
  readonly writer: FencedWriter;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly reconciliation: Reconciliation;
  readonly active: ReadonlyMap<string, JobRecord>;
  readonly getConfiguration: () => Configuration | undefined;
}

/**
 * Keeps the stored record of the services to which each route sends its tasks, or has sent tasks that
 * may still run there. A service is stored before the first start on one of its targets, so that a
 * successor knows whose reports to await, whatever configuration it and its predecessors have seen.
 */
export class RouteHistory {
  readonly #options: RouteHistoryOptions;
  readonly #rows = new Map<string, RouteRow>();
  #isLoaded = false;
  #searchNotBefore = 0;

  constructor(options: RouteHistoryOptions) {
    this.#options = options;
  }

  /** Loads what earlier owners have stored; a malformed row is logged and replaced. */
  load(rows: readonly Row[]): void {
    for (const { key, value, version } of rows) {
      const entry = decodeEntry(value);
      if (entry === undefined)
        this.#options.logger.writeError('route row not decodable', { route: key });
      this.#rows.set(key, new RouteRow(key, entry, version));
    }
    this.#isLoaded = true;
    this.refresh();
  }

  /** Adds the services of the present configuration. */
  refresh(): void {
    if (!this.#isLoaded) return;
    for (const route of this.#options.getConfiguration()?.routes ?? []) {
      const services = this.listServices(route.name);
      if (!services.includes(route.service))
        this.#change(route.name, { services: [...services, route.service] });
    }
  }

  /** Whether a successor would know that tasks of the route may run on its service. */
  canStart({ name, service }: Route): boolean {
    return this.#rows.get(name)?.isSurelyStored(service) === true;
  }

  /** Lists the services whose targets may run tasks of a route. */
  listServices(name: string): readonly string[] {
    return this.#rows.get(name)?.entry?.services ?? [];
  }

  /** Removes services that no run of their route can use any more. */
  sweep(): void {
    const { clock, fleet, reconciliation } = this.#options;
    const { now } = clock;
    if (!this.#isLoaded || now < this.#searchNotBefore) return;
    this.#searchNotBefore = now + SEARCH_PERIOD_MS;
    // Until then, runs of earlier terms may be unknown.
    const areRunsKnown =
      reconciliation.listPending(now).length === 0 &&
      reconciliation.listPartial().length === 0 &&
      fleet.listUnresolvedTasks().size === 0;
    if (areRunsKnown) this.#removeUnused();
  }

  #removeUnused(): void {
    const routes = this.#options.getConfiguration()?.routes ?? [];
    for (const { name, service } of routes) {
      const services = this.listServices(name);
      if (services.length < 2) continue;
      const used = this.#listUsedServices(name).add(service);
      const kept = services.filter((known) => used.has(known));
      if (kept.length < services.length) this.#change(name, { services: kept });
    }
  }

  #listUsedServices(name: string): Set<string> {
    const used = new Set<string>();
    for (const { entry, assignments } of this.#options.fleet.targets) {
      for (const { task } of assignments) {
        if (task.step.job.stored.route === name) used.add(entry.service);
      }
    }
    return used;
  }

  #change(name: string, entry: RouteEntry): void {
    const { logger, writer } = this.#options;
    const row = this.#rows.get(name) ?? new RouteRow(name, undefined, 0);
    this.#rows.set(name, row);
    row.entry = entry;
    writer.addUrgent(row);
    logger.writeInfo('route services', { route: name, services: entry.services.join(' ') });
  }
}

/** The row of one route. */
class RouteRow extends FencedRow {
  readonly table = ROUTE_TABLE;
  readonly key: string;
  version: number;
  /** What the row should hold; undefined if it was malformed. */
  entry: RouteEntry | undefined;
  /** All values that the store may hold: the one that was stored last, and those sent since. */
  #possible: readonly (RouteEntry | undefined)[];
  #sent: RouteEntry | undefined;

  constructor(key: string, entry: RouteEntry | undefined, version: number) {
    super();
    this.key = key;
    this.entry = entry;
    this.version = version;
    this.#possible = [entry];
  }

  /** Whether the store has this service in the row, whichever write was the last to succeed. */
  isSurelyStored(service: string): boolean {
    return [...this.#possible, this.entry].every((entry) => entry?.services.includes(service));
  }

  encode(): string | undefined {
    this.#sent = this.entry;
    if (!this.#possible.includes(this.#sent)) this.#possible = [...this.#possible, this.#sent];
    return this.#sent === undefined ? undefined : JSON.stringify(this.#sent);
  }

  handleStored(): void {
    this.#possible = [this.#sent];
  }
}

function decodeEntry(value: string): RouteEntry | undefined {
  try {
    const row = JSON.parse(value) as Partial<RouteEntry> | null;
    const services: unknown = row?.services;
    const isValid =
      Array.isArray(services) && services.every((service) => typeof service === 'string');
    return isValid ? { services: services } : undefined;
  } catch {
    return undefined;
  }
}
