import { DemandHistory } from '@currantgap/fleet';
import type { Job } from '@currantgap/jobs';

/** Keeps the demand history of each pool. */
export class PoolArrivals {
  readonly #histories = new Map<string, DemandHistory>();

  /** Records a submission for a service; persistent and scheduled jobs do not count as arrivals. */
  record(service: string, job: Job, now: number): void {
    if (job.isPersistent || job.isScheduled) return;
    let cpuWork = 0;
    let memoryWork = 0;
    for (const step of job.stored.submission.steps) {
      const taskMs = step.count * step.estimatedMs;
      cpuWork += taskMs * step.request.cpuMillis;
      memoryWork += taskMs * step.request.memoryMb;
    }
    const history = this.#histories.get(service) ?? new DemandHistory();
    this.#histories.set(service, history);
    history.record({ at: now, cpuWork, memoryWork });
  }

  /** Finds the demand history of a service; undefined if nothing has arrived for it. */
  find(service: string): DemandHistory | undefined {
    return this.#histories.get(service);
  }
}
