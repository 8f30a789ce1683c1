import { applyLedgerRow, decodeStoredJob, Job } from '@currantgap/jobs';
import { describeError, type Route } from '@currantgap/model';
import type { Row } from '@currantgap/store';
import type { Logger } from '@currantgap/telemetry';

/** Table to which the ingress of each node writes accepted submissions and cancel requests. */
export const INTAKE_TABLE = 'intake';
/**
 * Number of parts of the intake table. The store runs the transactions of a part one after another,
 * at most about four a second while it is slow; all nodes together need several times as many.
 */
const INTAKE_PART_COUNT = 8;
/** Names of the parts of the intake table. */
export const INTAKE_PARTS: readonly string[] = Array.from(
  { length: INTAKE_PART_COUNT },
  (_, number) => formatPart(number),
);
/** Suffix of the key of a cancel request; the submission's id precedes it. */
const CANCEL_SUFFIX = '/cancel';

/** Gets the key of the intake row that cancels a submission. */
export function getCancelKey(id: string): string {
  return `${id}${CANCEL_SUFFIX}`;
}

/** Gets the intake part of a submission's rows; every node computes the same part. */
export function getIntakePart(id: string): string {
  return formatPart(Number.parseInt(id.slice(-1), 16) % INTAKE_PART_COUNT);
}

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
  | undefined;

/** All jobs known to the owner, by id. */
export class JobIndex {
  readonly #jobs = new Map<string, Job>();
  readonly #ledgerRows = new Map<string, Row>();
  readonly #logger: Logger;

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** Stores ledger rows until the submissions of their jobs are read from the intake. */
  loadLedgerRows(rows: readonly Row[]): void {
    for (const row of rows) this.#ledgerRows.set(row.key, row);
  }

  /** Finds a job by its submission's id. */
  find(id: string): Job | undefined {
    return this.#jobs.get(id);
  }

  /** All jobs, in the order in which they were read. */
  get jobs(): Iterable<Job> {
    return this.#jobs.values();
  }

  /** Removes a job from memory; its rows are not touched. */
  remove(id: string): void {
    this.#jobs.delete(id);
  }

  /** Applies an intake row. A row that cannot be decoded is logged and skipped. */
  applyRow(row: Row): IntakeChange {
    if (row.isDeleted) return undefined;
    if (row.key.endsWith(CANCEL_SUFFIX)) {
      const job = this.#jobs.get(row.key.slice(0, -CANCEL_SUFFIX.length));
      return job?.cancel() === true ? { kind: 'cancelled', job } : undefined;
    }
    if (this.#jobs.has(row.key)) return undefined;
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

  #createJob(row: Row): Job {
    const job = new Job(decodeStoredJob(row.value));
    const ledger = this.#ledgerRows.get(row.key);
    if (ledger === undefined) return job;
    this.#ledgerRows.delete(row.key);
    applyLedgerRow(job, ledger.value);
    job.ledgerVersion = ledger.version;
    job.hasStarted = true;
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

function formatPart(number: number): string {
  return `jobs-${number}`;
}
