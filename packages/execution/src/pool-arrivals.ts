import type { DurationModel } from '@currantgap/estimation';
import { computeCriticalPathMs, type Job } from '@currantgap/jobs';
import type { Route, Step } from '@currantgap/model';
import { ArrivalMeter, type ArrivalLoad } from '@currantgap/scheduling';

/** Weight of a new submission in the moving average of the slack of a service's work. */
const SLACK_SMOOTHING_FACTOR = 0.1;
/** Longest time in milliseconds from the acceptance of a submission to its arrival that is believed. */
const MAXIMUM_AGE_MS = 1_000;
const NO_LOAD: ArrivalLoad = { cpuMillis: 0, memoryMb: 0 };

/** Measures the arrival rate of work for each pool, and how long that work may wait for room. */
export class PoolArrivals {
  readonly #durations: DurationModel;
  readonly #meters = new Map<string, ArrivalMeter>();
  readonly #slackMs = new Map<string, number>();

  constructor(durations: DurationModel) {
    this.#durations = durations;
  }

  /**
   * Records a submission; persistent and scheduled jobs do not count as arrivals. `ageMs` is the time
   * since its acceptance: those that a feed delivers together were not accepted together.
   */
  record(route: Route, job: Job, now: number, ageMs = 0): void {
    if (job.isPersistent || job.isScheduled) return;
    const { steps } = job.stored.submission;
    // The expected duration leaves out the tail, which needs room as well.
    const estimateTaskMs = (step: Step): number =>
      Math.max(step.estimatedMs, this.#durations.estimateTaskMs(job.stored.route, step));
    let cpuWork = 0;
    let memoryWork = 0;
    for (const step of steps) {
      const workMs = step.count * estimateTaskMs(step);
      cpuWork += workMs * step.request.cpuMillis;
      memoryWork += workMs * step.request.memoryMb;
    }
    const meter = this.#meters.get(route.service) ?? new ArrivalMeter();
    this.#meters.set(route.service, meter);
    const at = now - Math.min(MAXIMUM_AGE_MS, Math.max(0, ageMs));
    meter.record({ at, cpuWork, memoryWork });
    this.#recordSlack(route, computeCriticalPathMs(steps, estimateTaskMs));
  }

  /** Computes the steady-state load of a service at its current arrival rate. */
  computeLoad(service: string, now: number): ArrivalLoad {
    return this.#meters.get(service)?.computeLoad(now) ?? NO_LOAD;
  }

  /** Computes the load of a service at the highest arrival rate of this term that lasted. */
  computePeak(service: string): ArrivalLoad {
    return this.#meters.get(service)?.computePeak() ?? NO_LOAD;
  }

  /**
   * Gets for how many milliseconds the work of a service may wait and still meet its objective;
   * undefined before the first submission.
   */
  getSlackMs(service: string): number | undefined {
    return this.#slackMs.get(service);
  }

  #recordSlack({ service, stretch, latencyObjectiveMs }: Route, criticalPathMs: number): void {
    const slackMs = (stretch - 1) * criticalPathMs + latencyObjectiveMs;
    const known = this.#slackMs.get(service) ?? slackMs;
    this.#slackMs.set(service, known + SLACK_SMOOTHING_FACTOR * (slackMs - known));
  }
}
