import { encodeLedgerRow, type Job } from '@currantgap/jobs';
import { JobState } from '@currantgap/model';
import { FencedRow, FencedWriter, type FencedWriterOptions } from './fenced-writer.ts';

/** Table with the progress of each job, written by the owner. */
export const LEDGER_TABLE = 'ledger';

/** Writes the progress of jobs; a change is durable once `onWritten` has reported its number. */
export class Ledger {
  readonly #writer: FencedWriter;
  readonly #rows = new Map<Job, JobRow>();

  constructor(options: Omit<FencedWriterOptions, 'table'>) {
    this.#writer = new FencedWriter({ ...options, table: LEDGER_TABLE });
  }

  /** Enqueues a changed job; returns the number of the change. */
  add(job: Job): number {
    const row = this.#rows.get(job) ?? new JobRow(job);
    this.#rows.set(job, row);
    return this.#writer.add(row);
  }

  /** Writes pending changes now instead of after the batch delay; resolves after one attempt. */
  async flush(): Promise<void> {
    await this.#writer.flush();
  }

  /** Cancels the scheduled write and prevents further transactions; used when the term ends. */
  stop(): void {
    this.#writer.stop();
  }
}

/** The ledger row of one job. */
class JobRow extends FencedRow {
  readonly #job: Job;
  #encodedState = JobState.Pending;

  constructor(job: Job) {
    super();
    this.#job = job;
  }

  get key(): string {
    return this.#job.id;
  }

  get version(): number {
    return this.#job.ledgerVersion;
  }

  set version(version: number) {
    this.#job.ledgerVersion = version;
  }

  encode(): string {
    this.#encodedState = this.#job.state;
    return encodeLedgerRow(this.#job);
  }

  handleStored(): void {
    this.#job.storedState = this.#encodedState;
  }
}
