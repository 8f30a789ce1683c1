import { DemandHistory } from '@currantgap/fleet';
import { computeCriticalPathMs, type Job } from '@currantgap/jobs';
import type { Route } from '@currantgap/model';
import type { DurationModel } from '@currantgap/scheduling';

/** Keeps the demand history of each pool. */
export class PoolArrivals {
  readonly #histories = new Map<string, DemandHistory>();

  /** Records a submission on a route; persistent and scheduled jobs do not count as arrivals. */
  record(route: Route, job: Job, durations: DurationModel, now: number): void {
    if (job.isPersistent || job.isScheduled) return;
    const { steps } = job.stored.submission;
    let cpuWork = 0;
    let memoryWork = 0;
    for (const step of steps) {
      const taskMs = step.count * step.estimatedMs;
      cpuWork += taskMs * step.request.cpuMillis;
      memoryWork += taskMs * step.request.memoryMb;
    }
    const criticalPathMs = computeCriticalPathMs(steps, (step) =>
      durations.estimateTaskMs(route.name, step),
    );
    const slackMs = (route.stretch - 1) * criticalPathMs + route.latencyObjectiveMs;
    const history = this.#histories.get(route.service) ?? new DemandHistory();
    this.#histories.set(route.service, history);
    history.record({ at: now, cpuWork, memoryWork, slackMs });
  }

  /** Finds the demand history of a service; undefined if nothing has arrived for it. */
  find(service: string): DemandHistory | undefined {
    return this.#histories.get(service);
  }
}
