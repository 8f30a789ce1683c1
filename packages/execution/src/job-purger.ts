import type { PageSizer, Row, Store } from '@currantgap/store';
import { getWallNow, type OwnerContext } from './context.ts';
import {
  decodeEndedJob,
  decodeRefusal,
  ENDED_TABLE,
  getIntakePart,
  INTAKE_PARTS,
} from './intake-tables.ts';

/** Milliseconds between purges of the jobs that this owner has archived. */
const PURGE_PERIOD_MS = 1_000;
/** Milliseconds between reads of a page of the rows that earlier owners have left. */
const SCAN_PERIOD_MS = 5_000;
/** Rows in one purge; a transaction has at most 100 entries. */
const ROWS_PER_PURGE = 90;
/** Milliseconds beyond the status retention, since late retries must still find the submission. */
const RETENTION_MARGIN_MS = 60_000;

/** Purges the rows of ended jobs whose status retention has passed. */
export class JobPurger {
  readonly #context: OwnerContext;
  readonly #store: Store;
  readonly #pageSizer: PageSizer;
  #nextPurgeAt = 0;
  #nextScanAt = 0;
  /** Where the next page of the scan begins. */
  #cursor = { partIndex: 0, from: '' };

  constructor(context: OwnerContext, store: Store, pageSizer: PageSizer) {
    this.#context = context;
    this.#store = store;
    this.#pageSizer = pageSizer;
    this.#nextScanAt = context.clock.now + SCAN_PERIOD_MS;
  }

  /** Purges one batch of expired jobs, and looks for those of earlier owners, if this is due. */
  sweep(): void {
    const { now } = this.#context.clock;
    if (now >= this.#nextPurgeAt) {
      this.#nextPurgeAt = now + PURGE_PERIOD_MS;
      this.#removeArchived();
    }
    if (now >= this.#nextScanAt) {
      this.#nextScanAt = now + SCAN_PERIOD_MS;
      void this.#scanPage();
    }
  }

  #removeArchived(): void {
    const expired: string[] = [];
    for (const [id, { endedAt }] of this.#context.jobs.archived) {
      if (!this.#isExpired(endedAt)) continue;
      // A transaction changes one part only: jobs of other parts are purged in later sweeps.
      const [first = id] = expired;
      if (getIntakePart(id) === getIntakePart(first)) expired.push(id);
      if (expired.length === ROWS_PER_PURGE) break;
    }
    const [first] = expired;
    if (first !== undefined) void this.#remove(getIntakePart(first), expired);
  }

  /** Reads the next page of all ended jobs; the pages of all parts are read in turn. */
  async #scanPage(): Promise<void> {
    const { partIndex, from } = this.#cursor;
    const part = INTAKE_PARTS[partIndex] ?? '';
    const limit = Math.min(ROWS_PER_PURGE, this.#pageSizer.rows);
    const page = await this.#store.read({ table: ENDED_TABLE, part, from, limit });
    if (page.isErr()) return;
    const { rows, hasMore } = page.value;
    this.#cursor = hasMore
      ? { partIndex, from: `${rows.at(-1)?.key ?? ''}\0` }
      : { partIndex: (partIndex + 1) % INTAKE_PARTS.length, from: '' };
    const expired = rows.filter((row) => this.#isRowExpired(row)).map(({ key }) => key);
    if (expired.length > 0) await this.#remove(part, expired);
  }

  #isExpired(endedAt: number): boolean {
    return endedAt < getWallNow() - this.#context.bounds.statusMs - RETENTION_MARGIN_MS;
  }

  #isRowExpired({ key, value }: Row): boolean {
    const { jobs, logger } = this.#context;
    const refusedAt = decodeRefusal(value);
    // A submission that was accepted after its refusal has a row of its own soon.
    const isKnown = jobs.find(key) !== undefined || jobs.findArchived(key) !== undefined;
    if (refusedAt !== undefined && isKnown) return false;
    const endedAt = refusedAt ?? decodeEndedJob(value)?.endedAt;
    if (endedAt === undefined) {
      logger.writeError('row of an ended job not decodable', { id: key });
      return false;
    }
    return this.#isExpired(endedAt);
  }

  async #remove(part: string, ids: readonly string[]): Promise<void> {
    const { jobs, logger } = this.#context;
    const result = await this.#store.commit({
      conditions: [],
      puts: [],
      removals: ids.map((id) => ({ table: ENDED_TABLE, part, key: id })),
    });
    if (result.isErr()) {
      logger.writeWarning('expired jobs not purged', { reason: result.error.message });
      return;
    }
    for (const id of ids) jobs.forget(id);
    logger.writeInfo('expired jobs purged', { jobs: ids.length });
  }
}
