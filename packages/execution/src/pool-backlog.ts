import { computeCriticalPathMs, computeRemainingCriticalPathMs } from '@currantgap/jobs';
import type { Step } from '@currantgap/model';
import { getFootprint, ResourceSum } from '@currantgap/scheduling';
import { getWallNow, type OwnerContext } from './context.ts';
import type { JobRecord } from './job-index.ts';

/** Waiting tasks of a pool by whether VMs that are moved now can still serve them in time. */
export interface PoolBacklog {
  /** Requests of tasks that can wait for the VMs and still meet their objective. */
  readonly patient: ResourceSum;
  /** Requests of tasks for which moved VMs come too late. */
  readonly late: ResourceSum;
}

/** Computes the backlog of each pool, by service name. */
export function computeBacklogs(
  context: OwnerContext,
  bringUpMs: number,
): ReadonlyMap<string, PoolBacklog> {
  const backlogs = new Map<string, PoolBacklog>();
  const wallNow = getWallNow();
  for (const record of context.active.values()) {
    const { job, route } = record;
    if (route === undefined) continue;
    for (const step of job.listRunnableSteps(wallNow)) {
      const waiting = step.tasks.filter((task) => !task.isDone && !task.isActive);
      if (waiting.length === 0) continue;
      const backlog = backlogs.get(route.service) ?? createBacklog();
      backlogs.set(route.service, backlog);
      const canWait =
        step.definition.isPersistent || computeSpareMs(context, record, step) >= bringUpMs;
      const footprint = getFootprint(step.definition);
      const sum = canWait ? backlog.patient : backlog.late;
      waiting.forEach(() => {
        sum.add(footprint);
      });
    }
  }
  return backlogs;
}

/** Computes for how long the waiting tasks of a step may still wait to meet the objective. */
function computeSpareMs(
  { clock, durations }: OwnerContext,
  { job, route, arrivedAt }: JobRecord,
  step: ReturnType<JobRecord['job']['listRunnableSteps']>[number],
): number {
  const estimateTaskMs = (definition: Step): number =>
    durations.estimateTaskMs(job.stored.route, definition);
  const { steps } = job.stored.submission;
  const objectiveMs =
    (route?.stretch ?? 1) * computeCriticalPathMs(steps, estimateTaskMs) +
    (route?.latencyObjectiveMs ?? 0);
  const { dueAt } = step.occurrence;
  const elapsedMs = dueAt > 0 ? getWallNow() - dueAt : clock.now - arrivedAt;
  const remainingMs = computeRemainingCriticalPathMs(step.occurrence, clock.now, estimateTaskMs);
  return objectiveMs - elapsedMs - remainingMs;
}

function createBacklog(): PoolBacklog {
  return { patient: new ResourceSum(), late: new ResourceSum() };
}
