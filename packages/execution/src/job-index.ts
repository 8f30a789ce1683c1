import { applyLedgerRow, decodeStoredJob, Job } from '@currantgap/jobs';
import { describeError, type Route } from '@currantgap/model';
import type { Row } from '@currantgap/store';
import type { Logger } from '@currantgap/telemetry';
import { findCancelledId, type EndedJob } from './intake-tables.ts';
import type { JoinedRow } from './row-parts.ts';

/** A job with the owner's scheduling data. */
export interface JobRecord {
  readonly job: Job;
  /** Monotonic time from which the latency objective counts, in milliseconds. */
  readonly arrivedAt: number;
  /** Whether the job was accepted before this term, so a predecessor may have started it. */
  readonly isInherited: boolean;
  /** Whether the submission was within the rate that the team's weight allows. */
  readonly isWithinWeight: boolean;
  /** Last known definition of the job's route, also after operators remove the route. */
  route: Route | undefined;
}

/** Effect of a changed intake row; undefined if the row changes nothing. */
export type IntakeChange =
  | { readonly kind: 'accepted'; readonly job: Job }
  | { readonly kind: 'cancelled'; readonly job: Job }
  /** A cancel request of a submission that the intake does not hold, or holds no longer. */
  | { readonly kind: 'orphaned'; readonly id: string }
  | undefined;

/** All jobs known to the owner, by id. */
export class JobIndex {
  readonly #jobs = new Map<string, Job>();
  /** Jobs whose submissions were moved to the table of ended jobs, as far as this owner knows. */
  readonly #archived = new Map<string, EndedJob>();
  /** Unix milliseconds at which jobs were found to have been purged, by id. */
  readonly #purged = new Map<string, number>();
  readonly #ledgerRows = new Map<string, JoinedRow>();
  readonly #logger: Logger;

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** Stores ledger rows until the submissions of their jobs are read from the intake. */
  loadLedgerRows(rows: readonly JoinedRow[]): void {
    for (const row of rows) this.#ledgerRows.set(row.key, row);
  }

  /** Finds a job by its submission's id, unless it was archived. */
  find(id: string): Job | undefined {
    return this.#jobs.get(id);
  }

  /** Finds what is kept of an archived job. */
  findArchived(id: string): EndedJob | undefined {
    return this.#archived.get(id);
  }

  /** All archived jobs by id, in the order in which they were archived. */
  get archived(): Iterable<[string, EndedJob]> {
    return this.#archived.entries();
  }

  /** Replaces a job by what is kept of it; later reads of its submission are ignored. */
  archive(id: string, ended: EndedJob): void {
    this.#jobs.delete(id);
    this.#ledgerRows.delete(id);
    this.#archived.set(id, ended);
  }

  /** Forgets an archived job; its rows are not touched. */
  forget(id: string): void {
    this.#archived.delete(id);
  }

  /** Records that the store has no rows of a job any more. */
  recordPurged(id: string, wallNow: number): void {
    this.#purged.set(id, wallNow);
  }

  /** Whether a job is known to have ended and to be kept no longer, so that no run is needed. */
  isGone(id: string): boolean {
    return this.#archived.has(id) || this.#purged.has(id);
  }

  /** Applies an intake row. A row that cannot be decoded is logged and skipped. */
  applyRow(row: Row): IntakeChange {
    if (row.isDeleted) return undefined;
    const cancelledId = findCancelledId(row.key);
    if (cancelledId !== undefined) return this.#applyCancel(cancelledId);
    if (this.#jobs.has(row.key) || this.#archived.has(row.key)) return undefined;
    try {
      const job = this.#createJob(row);
      this.#jobs.set(job.id, job);
      return { kind: 'accepted', job };
    } catch (error) {
      const reason = describeError(error);
      this.#logger.writeError('stored submission not decodable', { id: row.key, reason });
      return undefined;
    }
  }

  #applyCancel(id: string): IntakeChange {
    const job = this.#jobs.get(id);
    if (job === undefined) return { kind: 'orphaned', id };
    return job.cancel() ? { kind: 'cancelled', job } : undefined;
  }

  #createJob(row: Row): Job {
    const job = new Job(decodeStoredJob(row.value));
    const ledger = this.#ledgerRows.get(row.key);
    if (ledger === undefined) return job;
    this.#ledgerRows.delete(row.key);
    applyLedgerRow(job, ledger.value);
    job.ledgerVersion = ledger.version;
    job.ledgerParts = ledger.parts;
    return job;
  }
}

/** Parses a task name of the form `ID.OCCURRENCE.STEP.INDEX`; undefined if the name is invalid. */
export function parseTaskName(
  name: string,
): { id: string; occurrence: number; step: number; index: number } | undefined {
  const parts = name.split('.');
  const [id, ...numbers] = parts;
  const [occurrence, step, index] = numbers.map(Number);
  if (id === undefined || occurrence === undefined || step === undefined) return undefined;
  if (index === undefined || parts.length !== 4) return undefined;
  if (![occurrence, step, index].every((number) => Number.isInteger(number))) return undefined;
  return { id, occurrence, step, index };
}
