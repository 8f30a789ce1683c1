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

/**
 * Milliseconds for which the definition of a dropped route is kept after its last open job: longer than
 * any node takes to learn that the route was dropped and to store a submission.
 */
const RETENTION_MS = 60_000;

/** What is stored of a route. */
interface RouteEntry {
  /** Definition in the last configuration that had the route. */
  readonly definition: Route;
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
 * Keeps the stored record of each route: its last definition, for the jobs that it had when it was
 * dropped, and the services to which it sends its tasks, or has sent tasks that may still run there.
 * A service is stored before the first start on one of its targets, so that a successor knows whose
 * reports to await, whatever configuration it and its predecessors have seen.
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
      const row = new RouteRow(key, entry, version);
      // Its jobs are not read yet.
      row.neededAt = this.#options.clock.now;
      this.#rows.set(key, row);
    }
    this.#isLoaded = true;
    this.refresh();
  }

  /** Takes over the definitions of the present configuration. */
  refresh(): void {
    if (!this.#isLoaded) return;
    for (const definition of this.#options.getConfiguration()?.routes ?? []) {
      const known = this.listServices(definition.name);
      const { service } = definition;
      const services = known.includes(service) ? known : [...known, service];
      this.#change(definition.name, { definition, services });
    }
  }

  /** Finds the last definition of a route, also after it was dropped. */
  findDefinition(name: string): Route | undefined {
    return this.#rows.get(name)?.entry?.definition;
  }

  /** Whether a successor would know that tasks of the route may run on its service. */
  canStart({ name, service }: Route): boolean {
    return this.#rows.get(name)?.isSurelyStored(service) === true;
  }

  /** Lists the services whose targets may run tasks of a route. */
  listServices(name: string): readonly string[] {
    return this.#rows.get(name)?.entry?.services ?? [];
  }

  /** Removes services that no run of their route can use any more, and dropped routes without jobs. */
  sweep(): void {
    const { clock, fleet, reconciliation } = this.#options;
    const { now } = clock;
    if (!this.#isLoaded || now < this.#searchNotBefore) return;
    this.#searchNotBefore = now + SEARCH_PERIOD_MS;
    this.#removeDropped(now);
    // Until then, runs of earlier terms may be unknown.
    const areRunsKnown =
      reconciliation.listPending(now).length === 0 &&
      reconciliation.listPartial().length === 0 &&
      fleet.listUnresolvedTasks().size === 0;
    if (areRunsKnown) this.#removeUnused();
  }

  #removeUnused(): void {
    for (const [name, { entry }] of this.#rows) {
      if (entry === undefined || entry.services.length < 2) continue;
      const { definition, services } = entry;
      const used = this.#listUsedServices(name).add(definition.service);
      this.#change(name, { definition, services: services.filter((known) => used.has(known)) });
    }
  }

  #removeDropped(now: number): void {
    const configuration = this.#options.getConfiguration();
    if (configuration === undefined) return;
    const needed = new Set(configuration.routes.map(({ name }) => name));
    for (const { job } of this.#options.active.values()) needed.add(job.stored.route);
    for (const [name, row] of this.#rows) {
      if (needed.has(name)) row.neededAt = now;
      else if (row.isRemoved) this.#rows.delete(name);
      else if (now > row.neededAt + RETENTION_MS) this.#change(name, undefined);
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

  #change(name: string, entry: RouteEntry | undefined): void {
    const { clock, logger, writer } = this.#options;
    const row = this.#rows.get(name) ?? new RouteRow(name, undefined, 0);
    this.#rows.set(name, row);
    row.neededAt = Math.max(row.neededAt, entry === undefined ? 0 : clock.now);
    if (JSON.stringify(entry) === JSON.stringify(row.entry)) return;
    row.entry = entry;
    writer.addUrgent(row);
    logger.writeInfo('route recorded', {
      route: name,
      service: entry?.definition.service ?? '',
      services: entry?.services.join(' ') ?? '',
    });
  }
}

/** The row of one route. */
class RouteRow extends FencedRow {
  readonly table = ROUTE_TABLE;
  readonly key: string;
  version: number;
  /** What the row should hold; undefined if it is to be removed, or was malformed. */
  entry: RouteEntry | undefined;
  /** Monotonic time at which the route was last configured or had an open job, in milliseconds. */
  neededAt = 0;
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

  /** Whether the row is not, and should not be, in the store. */
  get isRemoved(): boolean {
    return this.entry === undefined && this.version === 0;
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
    const definition: Partial<Route> | undefined = row?.definition;
    const services: unknown = row?.services;
    if (typeof definition?.service !== 'string') return undefined;
    if (typeof definition.maxAttempts !== 'number' || !Array.isArray(services)) return undefined;
    return row as RouteEntry;
  } catch {
    return undefined;
  }
}
