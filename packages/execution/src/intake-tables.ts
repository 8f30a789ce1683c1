import { JobState } from '@currantgap/model';

/** Table to which the ingress of each node writes accepted submissions and cancel requests. */
export const INTAKE_TABLE = 'intake';
/**
 * Table to which the owner moves the submissions of ended jobs, in the same parts. The intake holds
 * only open jobs, so that a new owner reads no others.
 */
export const ENDED_TABLE = 'ended';
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

/** What is kept of an ended job until its status retention has passed. */
export interface EndedJob {
  readonly state: JobState;
  /** Unix milliseconds. */
  readonly endedAt: number;
}

/** Gets the key of the intake row that cancels a submission. */
export function getCancelKey(id: string): string {
  return `${id}${CANCEL_SUFFIX}`;
}

/** Finds the submission that an intake row cancels; undefined if the row is no cancel request. */
export function findCancelledId(key: string): string | undefined {
  return key.endsWith(CANCEL_SUFFIX) ? key.slice(0, -CANCEL_SUFFIX.length) : undefined;
}

/** Gets the intake part of a submission's rows; every node computes the same part. */
export function getIntakePart(id: string): string {
  return formatPart(Number.parseInt(id.slice(-1), 16) % INTAKE_PART_COUNT);
}

/** Encodes the row of an ended job. */
export function encodeEndedJob({ state, endedAt }: EndedJob): string {
  return JSON.stringify({ state, endedAt });
}

/**
 * Encodes the row of a refused submission. It stands in the table of ended jobs, so that a write of
 * the submission which another node has still in flight cannot succeed later.
 */
export function encodeRefusal(refusedAt: number): string {
  return JSON.stringify({ refusedAt });
}

/**
 * Decodes the row of a refused submission: the Unix milliseconds of the refusal; undefined if the row
 * is none.
 */
export function decodeRefusal(value: string): number | undefined {
  try {
    const row = JSON.parse(value) as { refusedAt?: unknown } | null;
    return typeof row?.refusedAt === 'number' ? row.refusedAt : undefined;
  } catch {
    return undefined;
  }
}

const STATES = Object.values(JobState);

/** Decodes the row of an ended job; undefined if it is malformed. */
export function decodeEndedJob(value: string): EndedJob | undefined {
  try {
    const row = JSON.parse(value) as { state?: string; endedAt?: number } | null;
    const state = STATES.find((known: string) => known === row?.state);
    if (state === undefined || typeof row?.endedAt !== 'number') return undefined;
    return { state, endedAt: row.endedAt };
  } catch {
    return undefined;
  }
}

function formatPart(number: number): string {
  return `jobs-${number}`;
}
