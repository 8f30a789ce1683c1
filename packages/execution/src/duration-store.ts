import {
  decodeDurations,
  DurationFaultKind,
  encodeDurations,
  type DurationModel,
} from '@currantgap/estimation';
import type { PageSizer, Row, Store } from '@currantgap/store';
import type { OwnerContext } from './context.ts';
import { FencedRow } from './fenced-writer.ts';
import { readOwnerRows } from './owner-rows.ts';

/** Table with a row for each route whose durations the owner has learned. */
export const DURATION_TABLE = 'durations';
/** Milliseconds between two writes. */
const WRITE_PERIOD_MS = 5_000;
/** Longest key of a row that the store takes, in UTF-8. */
const MAXIMUM_KEY_BYTES = 200;
/** Octaves by which an expectation must have changed before it is written. */
const MINIMUM_CHANGE_OCTAVES = 0.3;

/**
 * Keeps what was learned about durations in the store, for the next owner. Nothing waits for it: a
 * new owner starts with the clients' estimates and adds what is stored once it is read.
 */
export class DurationStore {
  readonly #context: OwnerContext;
  readonly #store: Store;
  readonly #pageSizer: PageSizer;
  readonly #rows = new Map<string, DurationRow>();
  #isLoaded = false;
  #isStopped = false;
  #writeNotBefore = 0;

  constructor(context: OwnerContext, store: Store, pageSizer: PageSizer) {
    this.#context = context;
    this.#store = store;
    this.#pageSizer = pageSizer;
  }

  /** Reads what earlier owners have stored; called when all jobs are read, not to delay them. */
  async load(): Promise<void> {
    const isActive = (): boolean => !this.#isStopped;
    const tables = [DURATION_TABLE];
    const getRows = await readOwnerRows(this.#store, tables, this.#pageSizer, isActive);
    if (this.#isStopped) return;
    for (const row of getRows(DURATION_TABLE)) this.#loadRow(row);
    this.#isLoaded = true;
    this.#context.logger.writeInfo('durations read', { routes: this.#rows.size });
  }

  /** Enqueues the row whose expectation has changed most, if it has changed much. */
  sweep(): void {
    const { clock } = this.#context;
    if (!this.#isLoaded || clock.now < this.#writeNotBefore) return;
    this.#writeNotBefore = clock.now + WRITE_PERIOD_MS;
    const { durations } = this.#context;
    let largest = MINIMUM_CHANGE_OCTAVES;
    let changed: string | undefined;
    for (const route of durations.routes) {
      if (!this.#canWrite(route)) continue;
      const octaves = durations.measureChange(route);
      if (octaves < largest) continue;
      largest = octaves;
      changed = route;
    }
    if (changed === undefined) this.#removeForgotten();
    else this.#write(changed, largest);
  }

  /** Ends reading and writing. */
  stop(): void {
    this.#isStopped = true;
  }

  #loadRow({ key, value, version }: Row): void {
    const { durations, logger } = this.#context;
    const row = new DurationRow(key, durations, version);
    this.#rows.set(key, row);
    const result = decodeDurations(value);
    if (result.isOk()) {
      durations.load(key, result.value);
      return;
    }
    const { kind, message } = result.error;
    row.isKept = kind === DurationFaultKind.LaterVersion;
    logger.writeError('durations not decodable', { route: key, reason: message });
  }

  /** Removes the row of one route of which nothing is known any more. */
  #removeForgotten(): void {
    const { durations, writer } = this.#context;
    for (const [route, row] of this.#rows) {
      if (row.isKept || durations.listKinds(route) !== undefined) continue;
      if (row.version === 0) {
        this.#rows.delete(route);
        continue;
      }
      writer.add(row);
      return;
    }
  }

  /** Whether the store takes a row of this route and no later release has written one. */
  #canWrite(route: string): boolean {
    if (this.#rows.get(route)?.isKept === true) return false;
    return Buffer.byteLength(route) <= MAXIMUM_KEY_BYTES;
  }

  #write(route: string, octaves: number): void {
    const { durations, logger, writer } = this.#context;
    const row = this.#rows.get(route) ?? new DurationRow(route, durations, 0);
    this.#rows.set(route, row);
    durations.acceptAsStored(route);
    writer.add(row);
    logger.writeInfo('durations learned', {
      route,
      changedOctaves: Number(octaves.toFixed(2)),
      expectations: durations.describe(route),
    });
  }
}

/** The row of one route. */
class DurationRow extends FencedRow {
  readonly table = DURATION_TABLE;
  readonly key: string;
  version: number;
  /** Whether the row stays as a later release has written it. */
  isKept = false;
  readonly #durations: DurationModel;

  constructor(route: string, durations: DurationModel, version: number) {
    super();
    this.key = route;
    this.#durations = durations;
    this.version = version;
  }

  encode(): string | undefined {
    const kinds = this.#durations.listKinds(this.key);
    return kinds === undefined ? undefined : encodeDurations(kinds);
  }

  handleStored(): void {
    // Nothing waits for the row.
  }
}
