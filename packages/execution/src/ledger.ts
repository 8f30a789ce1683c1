import { encodeLedgerRow, type Job } from '@currantgap/jobs';
import { JobState } from '@currantgap/model';
import { FENCE_ROW, OWNER_PART, type Term } from '@currantgap/ownership';
import { StoreFaultKind, type Row, type Store, type StoreFault } from '@currantgap/store';
import type { Logger } from '@currantgap/telemetry';

/** Table of what the owner knows of each job's progress. */
export const LEDGER_TABLE = 'ledger';
/** Milliseconds in which changes gather for one transaction. */
const GATHER_MS = 20;
/**
 * Most milliseconds between two transactions of a slow store. The pause is as long as the last
 * answer took, so that the lease, which lies in the same part, is renewed in between.
 */
const LONGEST_PAUSE_MS = 400;
/** Milliseconds before a transaction that was not done is tried again. */
const RETRY_MS = 150;
/** Jobs in one transaction: two entries each, and the fence, in at most a hundred. */
const JOBS_PER_TRANSACTION = 45;

/** Options of a ledger. */
export interface LedgerOptions {
  readonly store: Store;
  readonly term: Term;
  readonly logger: Logger;
  /** All changes up to this generation are in the store. */
  readonly onWritten: (generation: number) => void;
  /** Another node took over. */
  readonly onFenced: () => void;
}

/** Writes jobs' progress, one transaction at a time, under the fence of the term. */
export class Ledger {
  readonly #options: LedgerOptions;
  #pending = new Set<Job>();
  #generation = 1;
  #isWriting = false;
  #isStopped = false;
  #isFailing = false;
  /** Steady instant before which no transaction is sent. */
  #pauseUntil = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: LedgerOptions) {
    this.#options = options;
  }

  /** Adds a changed job; returns the generation whose writing covers the change. */
  add(job: Job): number {
    this.#pending.add(job);
    this.#schedule(GATHER_MS);
    return this.#generation;
  }

  /** Writes at once what is pending; resolves after one try. */
  async flush(): Promise<void> {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    await this.#write();
  }

  /** Writes nothing more. */
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
    const isWhole = this.#pending.size === 0;
    const generation = this.#generation;
    if (isWhole) this.#generation += 1;
    this.#isWriting = true;
    const sentAt = performance.now();
    const isWritten = await this.#commit(jobs);
    const answeredAt = performance.now();
    this.#pauseUntil = answeredAt + Math.min(answeredAt - sentAt, LONGEST_PAUSE_MS);
    this.#isWriting = false;
    if (!isWritten) for (const job of jobs) this.#pending.add(job);
    // Part of what waits says nothing of a generation: a job of a failed try may wait behind it.
    else if (isWhole) this.#options.onWritten(generation);
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

  /** An earlier try of our own was done without an answer, or another owner has the fence. */
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
