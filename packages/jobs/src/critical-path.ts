import type { Step } from '@currantgap/model';
import type { Occurrence } from './occurrence.ts';
import type { StepRun } from './step.ts';

/**
 * Computes the length of the critical path through the steps in milliseconds. `estimateTaskMs`
 * returns the expected duration of one task of a step.
 */
export function computeCriticalPathMs(
  steps: readonly Step[],
  estimateTaskMs: (step: Step) => number,
): number {
  const endsMs: number[] = [];
  for (const step of steps) {
    const startMs = Math.max(0, ...step.after.map((index) => endsMs[index] ?? 0));
    endsMs.push(startMs + estimateTaskMs(step));
  }
  return Math.max(0, ...endsMs);
}

/**
 * Computes the length of the longest path through the steps that depend on a step, in milliseconds;
 * the step itself does not count.
 */
export function computeFollowingPathMs(
  steps: readonly Step[],
  index: number,
  estimateTaskMs: (step: Step) => number,
): number {
  const endsMs: (number | undefined)[] = [];
  for (const [position, step] of steps.entries()) {
    const startsMs = step.after.flatMap((earlier) => endsMs[earlier] ?? []);
    if (position === index) endsMs.push(0);
    else if (startsMs.length === 0) endsMs.push(undefined);
    else endsMs.push(Math.max(...startsMs) + estimateTaskMs(step));
  }
  return Math.max(0, ...endsMs.map((endMs) => endMs ?? 0));
}

/**
 * Computes the length of the remaining critical path of an occurrence in milliseconds: steps that
 * are done count 0, and a task in flight counts only the expected remaining time of its oldest run.
 * `estimateRemainingMs` returns that of a task of a step that has run for `elapsedMs`.
 */
export function computeRemainingCriticalPathMs(
  occurrence: Occurrence,
  now: number,
  estimateRemainingMs: (step: Step, elapsedMs: number) => number,
): number {
  const endsMs: number[] = [];
  for (const step of occurrence.steps) {
    const startMs = Math.max(0, ...step.definition.after.map((index) => endsMs[index] ?? 0));
    if (step.isDone) {
      endsMs.push(startMs);
      continue;
    }
    let remainingMs = 0;
    for (const startedAt of collectStartTimes(step, now))
      remainingMs = Math.max(remainingMs, estimateRemainingMs(step.definition, now - startedAt));
    if (step.waitingCount > 0)
      remainingMs = Math.max(remainingMs, estimateRemainingMs(step.definition, 0));
    endsMs.push(startMs + remainingMs);
  }
  return Math.max(0, ...endsMs);
}

/** Collects the times at which the oldest runs of the tasks that are not done were started; many are started at once. */
function collectStartTimes(step: StepRun, now: number): ReadonlySet<number> {
  const times = new Set<number>();
  for (const task of step.activeTasks) {
    if (task.isDone) continue;
    times.add(Math.min(now, ...task.attempts.map((attempt) => attempt.startedAt)));
  }
  return times;
}
