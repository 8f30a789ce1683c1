import type { StepRun } from '@currantgap/jobs';
import type { Resources } from '@currantgap/model';
import { canHaveCopies, ResourceSum } from '@currantgap/scheduling';
import { getWallNow, listPossibleServices, type OwnerContext } from './context.ts';
import type { PendingRuns } from './pending-runs.ts';

/**
 * Computes by team the resources that runs of earlier terms may use on targets that have not reported
 * yet. They count toward the cap of the team until their end is known.
 */
export function computeUnreportedRuns(context: OwnerContext): ReadonlyMap<string, Resources> {
  const { active, clock, reconciliation } = context;
  const byTeam = new Map<string, ResourceSum>();
  const pending = reconciliation.getPending(clock.now);
  if (pending.targets.length === 0) return byTeam;
  const limit = computePendingCapacity(context, pending);
  const wallNow = getWallNow();
  for (const record of active.values()) {
    if (!record.isInherited) continue;
    const { team } = record.job.stored;
    const sum = byTeam.get(team) ?? new ResourceSum();
    byTeam.set(team, sum);
    const services = listPossibleServices(context, record);
    for (const step of record.job.listRunnableSteps(wallNow))
      addPossibleRuns(pending, step, services, sum);
  }
  return new Map([...byTeam].map(([team, sum]) => [team, computeMinimum(sum, limit)]));
}

function addPossibleRuns(
  pending: PendingRuns,
  step: StepRun,
  services: readonly string[],
  sum: ResourceSum,
): void {
  const { request } = step.definition;
  const runsPerTask = canHaveCopies(step.definition) ? 2 : 1;
  if (pending.isAnyAwaited(services, true)) {
    sum.add(request, countPossibleRuns(step, runsPerTask));
    return;
  }
  for (const name of pending.getTasks(step.name)) {
    const task = step.findTask(Number(name.slice(name.lastIndexOf('.') + 1)));
    if (task === undefined || task.isDone || !pending.isAwaited(name, services, true)) continue;
    sum.add(request, Math.max(0, runsPerTask - task.attempts.length));
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
function computePendingCapacity({ fleet }: OwnerContext, { targets }: PendingRuns): Resources {
  const sum = new ResourceSum();
  for (const { id } of targets) {
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
