import { encodeLedgerRow, type Job } from '@currantgap/jobs';
import { JobState } from '@currantgap/model';
import { FENCE_ROW, OWNER_PART, type Term } from '@currantgap/ownership';
import { StoreFaultKind, type Row, type Store, type StoreFault } from '@currantgap/store';
import type { Logger } from '@currantgap/telemetry';

/** Table with the progress of each job, written by the owner. */
export const LEDGER_TABLE = 'ledger';
/** Milliseconds for which changes are batched into one transaction. */
const BATCH_MS = 20;
/**
 * Maximum milliseconds of the pause between two transactions while the store is slow. The pause
 * equals the last response time, so that lease renewals, which use the same part of the store, get
 * through in between.
 */
const MAXIMUM_PAUSE_MS = 400;
/** Milliseconds before a failed transaction is retried. */
const RETRY_MS = 150;
/** Jobs in one transaction of at most 100 entries: two for each job, and the fence row. */
const JOBS_PER_TRANSACTION = 45;

/** Options of a ledger. */
export interface LedgerOptions {
  readonly store: Store;
  readonly term: Term;
  readonly logger: Logger;
  /** Called when the store has all changes up to and including this generation. */
  readonly onWritten: (generation: number) => void;
  /** Called when the fence row shows that another node has taken over. */
  readonly onFenced: () => void;
}

/** Writes job progress in one transaction at a time, conditional on the fence row of the term. */
export class Ledger {
  readonly #options: LedgerOptions;
  #pending = new Set<Job>();
  #generation = 1;
  #isWriting = false;
  #isStopped = false;
  #isFailing = false;
  /** Monotonic time before which no transaction is sent, in milliseconds. */
  #pauseUntil = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: LedgerOptions) {
    this.#options = options;
  }

  /** Enqueues a changed job; returns the generation that the change belongs to. */
  add(job: Job): number {
    this.#pending.add(job);
    this.#schedule(BATCH_MS);
    return this.#generation;
  }

  /** Writes pending changes now instead of after the batch delay; resolves after one attempt. */
  async flush(): Promise<void> {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    await this.#write();
  }

  /** Cancels the scheduled write and prevents further transactions; used when the term ends. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  #schedule(delayMs: number): void {
    if (this.#isWriting || this.#isStopped) return;
    const pauseMs = this.#pauseUntil - performance.now();
    this.#timer ??= setTimeout(
      () => {
        this.#timer = undefined;
        void this.#write();
      },
      Math.max(delayMs, pauseMs),
    );
  }

  async #write(): Promise<void> {
    if (this.#isWriting || this.#isStopped || this.#pending.size === 0) return;
    const jobs = [...this.#pending].slice(0, JOBS_PER_TRANSACTION);
    for (const job of jobs) this.#pending.delete(job);
    const isLastBatch = this.#pending.size === 0;
    const generation = this.#generation;
    if (isLastBatch) this.#generation += 1;
    this.#isWriting = true;
    const sentAt = performance.now();
    const isWritten = await this.#commit(jobs);
    const answeredAt = performance.now();
    this.#pauseUntil = answeredAt + Math.min(answeredAt - sentAt, MAXIMUM_PAUSE_MS);
    this.#isWriting = false;
    if (!isWritten) for (const job of jobs) this.#pending.add(job);
    // Only a batch that empties the queue completes a generation: otherwise a job of a failed
    // attempt may still be pending behind other jobs.
    else if (isLastBatch) this.#options.onWritten(generation);
    if (this.#pending.size > 0) this.#schedule(isWritten ? 0 : RETRY_MS);
  }

  async #commit(jobs: readonly Job[]): Promise<boolean> {
    const { store, term } = this.#options;
    const states = jobs.map((job) => job.state);
    const rows = jobs.map((job) => ({
      key: { table: LEDGER_TABLE, part: OWNER_PART, key: job.id },
      version: job.ledgerVersion,
      value: encodeLedgerRow(job),
    }));
    const result = await store.commit({
      conditions: [
        { ...FENCE_ROW, version: term.fenceVersion },
        ...rows.map(({ key, version }) => ({ ...key, version })),
      ],
      puts: rows.map(({ key, value }) => ({ ...key, value })),
      removals: [],
    });
    if (result.isErr()) {
      this.#handleFault(result.error, jobs);
      return false;
    }
    if (this.#isFailing) this.#options.logger.writeInfo('ledger written again');
    this.#isFailing = false;
    for (const [index, job] of jobs.entries()) {
      job.ledgerVersion = result.value;
      job.storedState = states[index] ?? JobState.Pending;
    }
    return true;
  }

  #handleFault(fault: StoreFault, jobs: readonly Job[]): void {
    if (fault.kind === StoreFaultKind.Conflict) {
      this.#resolveConflict(fault.rows, jobs);
      return;
    }
    if (!this.#isFailing) {
      this.#options.logger.writeWarning('ledger not written', { reason: fault.message });
    }
    this.#isFailing = true;
  }

  /**
   * Handles a conflict: either an earlier transaction of this owner was committed without a
   * response, or another owner has changed the fence row.
   */
  #resolveConflict(rows: readonly Row[], jobs: readonly Job[]): void {
    const fence = rows.find((row) => row.table === FENCE_ROW.table);
    if (fence?.version !== this.#options.term.fenceVersion) {
      this.stop();
      this.#options.onFenced();
      return;
    }
    const versions = new Map(rows.map((row) => [row.key, row.version]));
    for (const job of jobs) job.ledgerVersion = versions.get(job.id) ?? 0;
  }
}
