import type { Job } from '@currantgap/jobs';
import type { Store } from '@currantgap/store';
import type { OwnerContext } from './context.ts';
import {
  encodeEndedJob,
  ENDED_TABLE,
  getCancelKey,
  getIntakePart,
  INTAKE_TABLE,
} from './intake-tables.ts';

/** Jobs in one transaction of at most 100 entries: three for each job. */
const JOBS_PER_TRANSACTION = 30;
/** Jobs of one part that are archived at once, without waiting for more. */
const FULL_BATCH_JOBS = 20;
/** Milliseconds for which ended jobs wait at most for others of their part. */
const MAXIMUM_WAIT_MS = 1_000;
/** Milliseconds before a failed transaction is retried. */
const RETRY_MS = 500;
/**
 * Pause between two transactions of a part as a multiple of the time that the first one took, so that
 * a slow store has time for new submissions.
 */
const PAUSE_FACTOR = 8;

/** Ended jobs of one part of the intake. */
interface PartQueue {
  readonly jobs: Set<Job>;
  isWriting: boolean;
  /** Monotonic time at which the queue is due although it is short, in milliseconds. */
  dueAt: number;
  /** Monotonic time before which no transaction is sent, in milliseconds. */
  pauseUntil: number;
}

/**
 * Moves the submissions of ended jobs out of the intake, and then removes their ledger rows, so that
 * a successor reads open jobs only. A row of the ended table is what late calls about a job find.
 */
export class JobArchiver {
  readonly #context: OwnerContext;
  readonly #store: Store;
  readonly #queues = new Map<string, PartQueue>();

  constructor(context: OwnerContext, store: Store) {
    this.#context = context;
    this.#store = store;
  }

  /** Enqueues a job whose end is stored in the ledger. */
  add(job: Job): void {
    const part = getIntakePart(job.id);
    const queue = this.#getQueue(part);
    queue.jobs.add(job);
    queue.dueAt = Math.min(queue.dueAt, this.#context.clock.now + MAXIMUM_WAIT_MS);
  }

  /**
   * Removes a cancel request whose submission is not in the intake, unless the submission comes
   * there first.
   */
  async removeOrphan(id: string): Promise<void> {
    const intake = { table: INTAKE_TABLE, part: getIntakePart(id) };
    const result = await this.#store.commit({
      conditions: [{ ...intake, key: id, version: 0 }],
      puts: [],
      removals: [{ ...intake, key: getCancelKey(id) }],
    });
    const outcome = result.isOk() ? 'removed' : result.error.message;
    this.#context.logger.writeInfo('cancel request without submission', { request: id, outcome });
  }

  /** Archives the jobs that are due and have no run left. */
  sweep(): void {
    const { now } = this.#context.clock;
    for (const [part, queue] of this.#queues) {
      const isDue = queue.jobs.size >= FULL_BATCH_JOBS || now >= queue.dueAt;
      if (queue.isWriting || queue.jobs.size === 0 || !isDue || now < queue.pauseUntil) continue;
      const jobs = [...queue.jobs].filter((job) => job.listAttempts().length === 0);
      queue.dueAt = now + MAXIMUM_WAIT_MS;
      if (jobs.length > 0) void this.#archive(part, queue, jobs.slice(0, JOBS_PER_TRANSACTION));
    }
  }

  #getQueue(part: string): PartQueue {
    const known = this.#queues.get(part);
    if (known !== undefined) return known;
    const created = { jobs: new Set<Job>(), isWriting: false, dueAt: Infinity, pauseUntil: 0 };
    this.#queues.set(part, created);
    return created;
  }

  async #archive(part: string, queue: PartQueue, jobs: readonly Job[]): Promise<void> {
    const { clock, jobs: index, ledger, logger } = this.#context;
    queue.isWriting = true;
    const sentAt = clock.now;
    const result = await this.#store.commit({
      conditions: [],
      puts: jobs.map((job) => ({
        table: ENDED_TABLE,
        part,
        key: job.id,
        value: encodeEndedJob(job),
      })),
      removals: jobs.flatMap(({ id }) => [
        { table: INTAKE_TABLE, part, key: id },
        { table: INTAKE_TABLE, part, key: getCancelKey(id) },
      ]),
    });
    queue.isWriting = false;
    queue.pauseUntil = clock.now + PAUSE_FACTOR * (clock.now - sentAt);
    if (result.isErr()) {
      queue.pauseUntil += RETRY_MS;
      logger.writeWarning('ended jobs not archived', { part, reason: result.error.message });
      return;
    }
    for (const job of jobs) {
      queue.jobs.delete(job);
      index.archive(job.id, { state: job.state, endedAt: job.endedAt });
      ledger.remove(job);
    }
  }
}
