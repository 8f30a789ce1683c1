import { getCancelKey, getIntakePart, INTAKE_TABLE } from './job-book.ts';
import { getWallNow, type OwnerContext } from './context.ts';
import { LEDGER_TABLE } from './ledger.ts';
import { FENCE_ROW, OWNER_PART } from '@currantgap/ownership';
import type { Store } from '@currantgap/store';
import type { Job } from '@currantgap/jobs';

/** Milliseconds between removals. */
const PERIOD_MS = 5_000;
/** Jobs removed at a time: two rows each in one transaction of at most a hundred entries. */
const JOBS_AT_ONCE = 40;
/** Milliseconds beyond the promised time: a late repeat of a submission must still be known. */
const MARGIN_MS = 60_000;

/** Removes the rows of jobs whose state need not be readable any more. */
export class Cleaner {
  readonly #context: OwnerContext;
  readonly #store: Store;
  #nextAt = 0;

  constructor(context: OwnerContext, store: Store) {
    this.#context = context;
    this.#store = store;
  }

  /** Removes some old jobs, if it is time to. */
  sweep(): void {
    const { bounds, clock, jobs } = this.#context;
    if (clock.now < this.#nextAt) return;
    this.#nextAt = clock.now + PERIOD_MS;
    const oldest = getWallNow() - bounds.statusMs - MARGIN_MS;
    const old: Job[] = [];
    for (const job of jobs.jobs) {
      if (!job.isEnded || job.endedAt === 0 || job.endedAt >= oldest) continue;
      // One transaction changes one part: the others have their turn later.
      const [first = job] = old;
      if (getIntakePart(job.id) === getIntakePart(first.id)) old.push(job);
      if (old.length === JOBS_AT_ONCE) break;
    }
    const [first] = old;
    if (first !== undefined) void this.#remove(old, getIntakePart(first.id));
  }

  /** The submission goes first: a ledger row without it would only be left over. */
  async #remove(old: readonly Job[], part: string): Promise<void> {
    const { jobs, logger, term } = this.#context;
    const intake = { table: INTAKE_TABLE, part };
    const submissions = await this.#store.commit({
      conditions: [],
      puts: [],
      removals: old.flatMap(({ id }) => [
        { ...intake, key: id },
        { ...intake, key: getCancelKey(id) },
      ]),
    });
    if (submissions.isErr()) {
      logger.writeWarning('old jobs not removed', { reason: submissions.error.message });
      return;
    }
    const progress = await this.#store.commit({
      conditions: [{ ...FENCE_ROW, version: term.fenceVersion }],
      puts: [],
      removals: old.map(({ id }) => ({ table: LEDGER_TABLE, part: OWNER_PART, key: id })),
    });
    if (progress.isErr()) {
      logger.writeWarning('old progress not removed', { reason: progress.error.message });
    }
    for (const { id } of old) jobs.remove(id);
    logger.writeInfo('old jobs removed', { jobs: old.length });
  }
}
