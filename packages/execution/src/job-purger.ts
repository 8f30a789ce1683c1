import { getCancelKey, getIntakePart, INTAKE_TABLE } from './job-index.ts';
import { getWallNow, type OwnerContext } from './context.ts';
import { LEDGER_TABLE } from './ledger.ts';
import { FENCE_ROW, OWNER_PART } from '@currantgap/ownership';
import type { Store } from '@currantgap/store';
import type { Job } from '@currantgap/jobs';

/** Milliseconds between purges. */
const PURGE_PERIOD_MS = 5_000;
/** Jobs in one purge: two rows each, and a transaction has at most 100 entries. */
const JOBS_PER_PURGE = 40;
/** Milliseconds beyond the status retention, since late retries must still find the submission. */
const RETENTION_MARGIN_MS = 60_000;

/** Purges the rows of ended jobs whose status retention has passed. */
export class JobPurger {
  readonly #context: OwnerContext;
  readonly #store: Store;
  #nextPurgeAt = 0;

  constructor(context: OwnerContext, store: Store) {
    this.#context = context;
    this.#store = store;
  }

  /** Purges one batch of expired jobs if a purge is due. */
  sweep(): void {
    const { bounds, clock, jobs } = this.#context;
    if (clock.now < this.#nextPurgeAt) return;
    this.#nextPurgeAt = clock.now + PURGE_PERIOD_MS;
    const retainedSince = getWallNow() - bounds.statusMs - RETENTION_MARGIN_MS;
    const expired: Job[] = [];
    for (const job of jobs.jobs) {
      if (!job.isEnded || job.endedAt === 0 || job.endedAt >= retainedSince) continue;
      // A transaction changes one part only: jobs of other parts are purged in later sweeps.
      const [first = job] = expired;
      if (getIntakePart(job.id) === getIntakePart(first.id)) expired.push(job);
      if (expired.length === JOBS_PER_PURGE) break;
    }
    const [first] = expired;
    if (first !== undefined) void this.#remove(expired, getIntakePart(first.id));
  }

  /**
   * Removes the submissions first: if the second transaction fails, only ledger rows without a
   * submission are left over.
   */
  async #remove(expired: readonly Job[], part: string): Promise<void> {
    const { jobs, logger, term } = this.#context;
    const intake = { table: INTAKE_TABLE, part };
    const submissions = await this.#store.commit({
      conditions: [],
      puts: [],
      removals: expired.flatMap(({ id }) => [
        { ...intake, key: id },
        { ...intake, key: getCancelKey(id) },
      ]),
    });
    if (submissions.isErr()) {
      logger.writeWarning('expired jobs not purged', { reason: submissions.error.message });
      return;
    }
    const progress = await this.#store.commit({
      conditions: [{ ...FENCE_ROW, version: term.fenceVersion }],
      puts: [],
      removals: expired.map(({ id }) => ({ table: LEDGER_TABLE, part: OWNER_PART, key: id })),
    });
    if (progress.isErr()) {
      logger.writeWarning('ledger rows of expired jobs not purged', {
        reason: progress.error.message,
      });
    }
    for (const { id } of expired) jobs.remove(id);
    logger.writeInfo('expired jobs purged', { jobs: expired.length });
  }
}
