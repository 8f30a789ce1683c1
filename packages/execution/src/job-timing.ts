import {
  computeCriticalPathMs,
  computeRemainingCriticalPathMs,
  type StepRun,
} from '@currantgap/jobs';
import type { Step } from '@currantgap/model';
import type { OwnerContext } from './context.ts';
import type { JobRecord } from './job-index.ts';

/** Multiple of the latency objective up to which a late completion still counts. */
const LATE_LIMIT_FACTOR = 3;

/** Times of one occurrence of a job, in milliseconds. */
export interface JobTiming {
  /** Time until the latency objective is missed; negative after that. */
  readonly timeToObjectiveMs: number;
  /** Time until the late limit, up to which a late end still counts; negative after that. */
  readonly timeToLateLimitMs: number;
  /** Time that the rest of the job takes if none of its tasks waits for a target. */
  readonly remainingMs: number;
}

/** Computes the times of the occurrence that a step belongs to. */
export function computeJobTiming(
  { clock, durations }: OwnerContext,
  { job, route, arrivedAt }: JobRecord,
  step: StepRun,
  wallNow: number,
): JobTiming {
  const estimateTaskMs = (definition: Step): number =>
    durations.estimateTaskMs(job.stored.route, definition);
  const criticalPathMs = computeCriticalPathMs(job.stored.submission.steps, estimateTaskMs);
  const objectiveMs = (route?.stretch ?? 1) * criticalPathMs + (route?.latencyObjectiveMs ?? 0);
  const { dueAt } = step.occurrence;
  const elapsedMs = dueAt > 0 ? wallNow - dueAt : clock.now - arrivedAt;
  return {
    timeToObjectiveMs: objectiveMs - elapsedMs,
    timeToLateLimitMs: LATE_LIMIT_FACTOR * objectiveMs - elapsedMs,
    remainingMs: computeRemainingCriticalPathMs(step.occurrence, clock.now, (definition, runMs) =>
      durations.estimateRemainingMs(job.stored.route, definition, runMs),
    ),
  };
}
