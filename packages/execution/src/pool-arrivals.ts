import type { Job } from '@currantgap/jobs';
import { ArrivalMeter, type ArrivalLoad } from '@currantgap/scheduling';

/** Meters the arrivals of each pool. */
export class PoolArrivals {
  readonly #meters = new Map<string, ArrivalMeter>();

  /** Records a submission for a service. */
  record(service: string, job: Job, now: number): void {
    if (job.isPersistent || job.isScheduled) return;
    let cpuWork = 0;
    let memoryWork = 0;
    for (const step of job.stored.submission.steps) {
      const taskMs = step.count * step.estimatedMs;
      cpuWork += taskMs * step.request.cpuMillis;
      memoryWork += taskMs * step.request.memoryMb;
    }
    const known = this.#meters.get(service) ?? new ArrivalMeter();
    this.#meters.set(service, known);
    known.record({ at: now, cpuWork, memoryWork });
  }

  /** Load that a service's present arrivals amount to. */
  computeLoad(service: string, now: number): ArrivalLoad {
    return this.#meters.get(service)?.computeLoad(now) ?? { cpuMillis: 0, memoryMb: 0 };
  }
}
