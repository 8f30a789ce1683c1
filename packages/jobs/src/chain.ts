import type { Step } from '@currantgap/model';
import type { Occurrence } from './occurrence.ts';

/** Computes the longest chain of steps in milliseconds, given what one task of a step takes. */
export function computeChain(steps: readonly Step[], getTaskMs: (step: Step) => number): number {
  const ends: number[] = [];
  for (const step of steps) {
    const begin = Math.max(0, ...step.after.map((index) => ends[index] ?? 0));
    ends.push(begin + getTaskMs(step));
  }
  return Math.max(0, ...ends);
}

/** Computes what is left of the longest chain; tasks under way count for what is left of them. */
export function computeRemainingChain(
  occurrence: Occurrence,
  now: number,
  getTaskMs: (step: Step) => number,
): number {
  const ends: number[] = [];
  for (const step of occurrence.steps) {
    const begin = Math.max(0, ...step.definition.after.map((index) => ends[index] ?? 0));
    if (step.isDone) {
      ends.push(begin);
      continue;
    }
    const whole = getTaskMs(step.definition);
    let left = 0;
    for (const task of step.tasks) {
      if (task.isDone) continue;
      const started = task.attempts[0]?.startedAt ?? now;
      left = Math.max(left, whole - (now - started));
    }
    ends.push(begin + left);
  }
  return Math.max(0, ...ends);
}
