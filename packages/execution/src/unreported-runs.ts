import type { StepRun } from '@currantgap/jobs';
import type { Resources } from '@currantgap/model';
import { canHaveCopies, ResourceSum } from '@currantgap/scheduling';
import { getWallNow, listPossibleServices, type OwnerContext } from './context.ts';
import type { JobRecord } from './job-index.ts';

/**
 * Computes by team the resources that runs of earlier terms may use on targets that have not reported
 * yet. They count toward the cap of the team until their end is known.
 */
export function computeUnreportedRuns(context: OwnerContext): ReadonlyMap<string, Resources> {
  const { active, clock, reconciliation } = context;
  const byTeam = new Map<string, ResourceSum>();
  if (reconciliation.listPending(clock.now).length === 0) return byTeam;
  const limit = computePendingCapacity(context);
  const wallNow = getWallNow();
  for (const record of active.values()) {
    if (!record.isInherited) continue;
    const { team } = record.job.stored;
    const sum = byTeam.get(team) ?? new ResourceSum();
    byTeam.set(team, sum);
    addPossibleRuns(context, record, wallNow, sum);
  }
  return new Map([...byTeam].map(([team, sum]) => [team, computeMinimum(sum, limit)]));
}

function addPossibleRuns(
  context: OwnerContext,
  record: JobRecord,
  wallNow: number,
  sum: ResourceSum,
): void {
  const { clock, reconciliation } = context;
  const services = listPossibleServices(context, record);
  const pending = reconciliation.getPending(clock.now);
  const isAnyAwaited = pending.isAnyAwaited(services, true);
  for (const step of record.job.listRunnableSteps(wallNow)) {
    const { request } = step.definition;
    const runsPerTask = canHaveCopies(step.definition) ? 2 : 1;
    if (isAnyAwaited) {
      sum.add(request, countPossibleRuns(step, runsPerTask));
      continue;
    }
    for (const name of pending.getTasks(step.name)) {
      const task = step.findTask(Number(name.slice(name.lastIndexOf('.') + 1)));
      if (task === undefined || task.isDone || !pending.isAwaited(name, services, true)) continue;
      sum.add(request, Math.max(0, runsPerTask - task.attempts.length));
    }
  }
}

/** Counts the runs that the tasks of a step may have beside those that are known. */
function countPossibleRuns(step: StepRun, runsPerTask: number): number {
  let count = step.openTaskCount * runsPerTask;
  for (const { isDone, attempts } of step.activeTasks)
    if (!isDone) count -= Math.min(runsPerTask, attempts.length);
  return count;
}

/** Computes what fits on the targets whose reports are pending; unlimited if one is not known. */
function computePendingCapacity({ clock, fleet, reconciliation }: OwnerContext): Resources {
  const sum = new ResourceSum();
  for (const { id } of reconciliation.listPending(clock.now)) {
    const target = fleet.find(id);
    if (target === undefined) return { cpuMillis: Infinity, memoryMb: Infinity, gpus: Infinity };
    sum.add(target.capacity);
  }
  return sum;
}

function computeMinimum(amount: Resources, limit: Resources): Resources {
  return {
    cpuMillis: Math.min(amount.cpuMillis, limit.cpuMillis),
    memoryMb: Math.min(amount.memoryMb, limit.memoryMb),
    gpus: Math.min(amount.gpus, limit.gpus),
  };
}
