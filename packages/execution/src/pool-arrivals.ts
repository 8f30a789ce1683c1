import type { DurationModel } from '@currantgap/estimation';
import type { Job } from '@currantgap/jobs';
import { ArrivalMeter, type ArrivalLoad } from '@currantgap/scheduling';

/** Measures the arrival rate of work for each pool. */
export class PoolArrivals {
  readonly #durations: DurationModel;
  readonly #meters = new Map<string, ArrivalMeter>();
  #lastArrivalAt = -Infinity;

  constructor(durations: DurationModel) {
    this.#durations = durations;
  }

  /** Monotonic time of the last submission that is known, in milliseconds; -Infinity if there is none. */
  get lastArrivalAt(): number {
    return this.#lastArrivalAt;
  }

  /** Records a submission of an earlier term; it does not count toward the arrival rates. */
  recordEarlier(arrivedAt: number): void {
    this.#lastArrivalAt = Math.max(this.#lastArrivalAt, arrivedAt);
  }

  /** Records a submission for a service; persistent and scheduled jobs do not count as arrivals. */
  record(service: string, job: Job, now: number): void {
    this.recordEarlier(now);
    if (job.isPersistent || job.isScheduled) return;
    let cpuWork = 0;
    let memoryWork = 0;
    for (const step of job.stored.submission.steps) {
      // The expected duration leaves out the tail, which needs room as well.
      const expectedMs = this.#durations.estimateTaskMs(job.stored.route, step);
      const workMs = step.count * Math.max(step.estimatedMs, expectedMs);
      cpuWork += workMs * step.request.cpuMillis;
      memoryWork += workMs * step.request.memoryMb;
    }
    const meter = this.#meters.get(service) ?? new ArrivalMeter();
    this.#meters.set(service, meter);
    meter.record({ at: now, cpuWork, memoryWork });
  }

  /** Computes the steady-state load of a service at its current arrival rate. */
  computeLoad(service: string, now: number): ArrivalLoad {
    return this.#meters.get(service)?.computeLoad(now) ?? { cpuMillis: 0, memoryMb: 0 };
  }
}
