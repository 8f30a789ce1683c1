import { applyLedgerRow, decodeStoredJob, Job } from '@currantgap/jobs';
import { describeError, type Route } from '@currantgap/model';
import type { Row } from '@currantgap/store';
import type { Logger } from '@currantgap/telemetry';

/** Table into which the fronts write accepted submissions and cancels. */
export const INTAKE_TABLE = 'intake';
/**
 * Parts of the intake. The store writes a part one transaction after another and, while it is
 * slow, no more than about four a second: all fronts together need several times as many.
 */
const INTAKE_PART_COUNT = 8;
export const INTAKE_PARTS: readonly string[] = Array.from(
  { length: INTAKE_PART_COUNT },
  (_, number) => formatPart(number),
);
/** Ends the key of a cancel, which begins with the submission's id. */
const CANCEL_SUFFIX = '/cancel';

/** Gets the key of the row that cancels a submission. */
export function getCancelKey(id: string): string {
  return `${id}${CANCEL_SUFFIX}`;
}

/** Gets the part in which the rows of a submission lie: the same for every front. */
export function getIntakePart(id: string): string {
  return formatPart(Number.parseInt(id.slice(-1), 16) % INTAKE_PART_COUNT);
}

/** What the owner adds to a job. */
export interface JobRecord {
  readonly job: Job;
  /** Steady instant from which its objective counts. */
  readonly arrivedAt: number;
  /** It was accepted before this term, so a predecessor may have started it. */
  readonly isInherited: boolean;
  /** Its team had sent no more than its weight allows. */
  readonly isWithinWeight: boolean;
  /** The route that applied last; kept when operators remove the route. */
  route: Route | undefined;
}

/** What a changed row of the intake did. */
export type IntakeChange =
  | { readonly kind: 'accepted'; readonly job: Job }
  | { readonly kind: 'cancelled'; readonly job: Job }
  | undefined;

/** All jobs that the owner knows. */
export class JobBook {
  readonly #jobs = new Map<string, Job>();
  readonly #ledgerRows = new Map<string, Row>();
  readonly #logger: Logger;

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /** Keeps ledger rows for the jobs that are read after them. */
  loadLedger(rows: readonly Row[]): void {
    for (const row of rows) this.#ledgerRows.set(row.key, row);
  }

  find(id: string): Job | undefined {
    return this.#jobs.get(id);
  }

  get jobs(): Iterable<Job> {
    return this.#jobs.values();
  }

  remove(id: string): void {
    this.#jobs.delete(id);
  }

  /** Applies a row of the intake; an unreadable row is logged and left out. */
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
      this.#logger.writeError('stored submission unreadable', { id: row.key, reason });
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

/** Parses a task's name, which is ID.K.STEP.INDEX; undefined where it is none. */
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
