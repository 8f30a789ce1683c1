import { encodeLedgerRow, type Job } from '@currantgap/jobs';
import { JobState } from '@currantgap/model';
import { FencedRow, MAXIMUM_VALUE_BYTES, type FencedWriter } from './fenced-writer.ts';

/** Table with the progress of each job, written by the owner. */
export const LEDGER_TABLE = 'ledger';

/** Writes the progress of jobs; a change is durable once the writer has reported its number. */
export class Ledger {
  readonly #writer: FencedWriter;
  readonly #rows = new Map<Job, JobRow>();
  readonly #onEndStored: (job: Job) => void;

  /** `onEndStored` is called when the store has the final state of a job. */
  constructor(writer: FencedWriter, onEndStored: (job: Job) => void) {
    this.#writer = writer;
    this.#onEndStored = onEndStored;
  }

  /** Enqueues a changed job; returns the number of the change. */
  add(job: Job): number {
    return this.#writer.add(this.#getRow(job));
  }

  /** Removes the row of an archived job. */
  remove(job: Job): void {
    const row = this.#getRow(job);
    row.isRemoved = true;
    this.#writer.add(row);
  }

  #getRow(job: Job): JobRow {
    const known = this.#rows.get(job);
    if (known !== undefined) return known;
    const created = new JobRow(job, () => {
      if (created.isRemoved) this.#rows.delete(job);
      else if (job.isEnded) this.#onEndStored(job);
    });
    this.#rows.set(job, created);
    return created;
  }
}

/** The ledger row of one job. */
class JobRow extends FencedRow {
  readonly table = LEDGER_TABLE;
  /** Whether the row is to be removed, since the job was archived. */
  isRemoved = false;
  readonly #job: Job;
  readonly #onStored: () => void;
  #encodedState = JobState.Pending;

  constructor(job: Job, onStored: () => void) {
    super();
    this.#job = job;
    this.parts = job.ledgerParts;
    this.#onStored = onStored;
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

  encode(): string | undefined {
    this.#encodedState = this.#job.state;
    return this.isRemoved ? undefined : encodeLedgerRow(this.#job, MAXIMUM_VALUE_BYTES);
  }

  handleStored(): void {
    this.#job.storedState = this.#encodedState;
    if (this.#encodedState === this.#job.state) this.#onStored();
  }
}
