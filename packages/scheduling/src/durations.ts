import type { Step } from '@currantgap/model';

/** Weight of a new observation in the moving average of the ratio. */
const SMOOTHING_FACTOR = 0.1;
/** Upper bound of an observed ratio, so that a task that hung does not distort the average. */
const MAXIMUM_RATIO = 4;
/** Assumed duration in milliseconds of a task for which the client gave no estimate. */
const DEFAULT_TASK_MS = 1_000;

/** Learns, per route, the ratio of the actual duration of tasks to their clients' estimates. */
export class DurationModel {
  readonly #ratios = new Map<string, number>();

  /** Estimates the duration in milliseconds of one task on a healthy target near its data. */
  estimateTaskMs(route: string, step: Step): number {
    const estimate = step.estimatedMs > 0 ? step.estimatedMs : DEFAULT_TASK_MS;
    return estimate * (this.#ratios.get(route) ?? 1);
  }

  /** Estimates the duration in milliseconds that this part (0 to 1) of the tasks does not exceed. */
  estimateQuantileMs(route: string, step: Step, part: number): number {
    return this.estimateTaskMs(route, step) * Math.max(1, 2 * part);
  }

  /** Records the duration of a task that succeeded. */
  record(route: string, step: Step, elapsedMs: number): void {
    if (step.estimatedMs <= 0) return;
    const ratio = Math.min(MAXIMUM_RATIO, elapsedMs / step.estimatedMs);
    const previous = this.#ratios.get(route) ?? 1;
    this.#ratios.set(route, previous + SMOOTHING_FACTOR * (ratio - previous));
  }
}
