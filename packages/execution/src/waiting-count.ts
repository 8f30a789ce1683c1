import type { JobRecord } from './job-index.ts';

/** Count of a route's submissions of which no task has begun, as one owner knows it. */
export interface WaitingCount {
  readonly waiting: number;
  /** Monotonic time up to which all accepted submissions are counted, in milliseconds. */
  readonly currentAt: number;
  /** Epoch of the owner's term. */
  readonly epoch: number;
}

/** Counts a route's jobs of which no task has begun. */
export function countWaitingJobs(records: Iterable<JobRecord>, route: string): number {
  let waiting = 0;
  for (const { job } of records) if (job.stored.route === route && !job.hasStarted) waiting += 1;
  return waiting;
}
