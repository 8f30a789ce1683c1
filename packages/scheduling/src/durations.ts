import type { Step } from '@currantgap/model';

/** Share of a new observation in the learned ratio. */
const SMOOTHING = 0.1;
/** An observation counts at most this often, so that one that hung does not spoil the ratio. */
const MAXIMUM_RATIO = 4;
/** Milliseconds assumed for a task whose client gave no estimate. */
const UNKNOWN_TASK_MS = 1_000;

/** Learns, route by route, how long tasks take against what their clients estimated. */
export class DurationModel {
  readonly #ratios = new Map<string, number>();

  /** Expected milliseconds of one task on a sound target near its data. */
  estimateTaskMs(route: string, step: Step): number {
    const estimate = step.estimatedMs > 0 ? step.estimatedMs : UNKNOWN_TASK_MS;
    return estimate * (this.#ratios.get(route) ?? 1);
  }

  /** Records how long a task that ended well took. */
  record(route: string, step: Step, elapsedMs: number): void {
    if (step.estimatedMs <= 0) return;
    const ratio = Math.min(MAXIMUM_RATIO, elapsedMs / step.estimatedMs);
    const known = this.#ratios.get(route) ?? 1;
    this.#ratios.set(route, known + SMOOTHING * (ratio - known));
  }
}
