import type { TeamLoad } from '@currantgap/admission';
import { computeCriticalPathMs, computeRemainingCriticalPathMs } from '@currantgap/jobs';
import type { Occurrence, StepRun } from '@currantgap/jobs';
import type { Resources, Step } from '@currantgap/model';
import { getFootprint, ResourceSum } from '@currantgap/scheduling';
import { getWallNow, type OwnerContext } from './context.ts';
import type { JobRecord } from './job-index.ts';
import type { PendingRuns } from './pending-runs.ts';

/** Weight of work without a team, or of a team that the configuration does not name. */
const DEFAULT_WEIGHT = 1;

/** Load of one team while it is summed up. */
class TeamTotals {
  readonly held = new ResourceSum();
  readonly persistent = new ResourceSum();
  readonly waiting = new ResourceSum();
  readonly work = new Map<number, ResourceSum>();
  readonly arrived = new Map<number, ResourceSum>();

  addWork(priority: number, amount: Resources, isNew: boolean): void {
    addTo(this.work, priority, amount);
    if (isNew) addTo(this.arrived, priority, amount);
  }
}

function addTo(sums: Map<number, ResourceSum>, priority: number, amount: Resources): void {
  const sum = sums.get(priority) ?? new ResourceSum();
  sums.set(priority, sum);
  sum.add(amount);
}

/**
 * Computes the load of each team on each pool. Only work that can still meet its latency objective
 * counts as waiting, since a new submission goes ahead of all other work. Work that has arrived in
 * the last `periodMs` counts as arriving.
 */
export function computeTeamLoads(context: OwnerContext, periodMs: number): Map<string, TeamLoad[]> {
  const pools = new Map<string, Map<string, TeamTotals>>();
  addHeld(context, pools);
  addWaiting(context, pools, context.clock.now - periodMs);
  const { configuration } = context.getOperatorView();
  const weights = new Map(configuration?.teams.map(({ name, weight }) => [name, weight]));
  const loads = new Map<string, TeamLoad[]>();
  for (const [service, teams] of pools) {
    const list = [...teams].map(([team, { held, persistent, waiting, work, arrived }]) => ({
      team,
      weight: weights.get(team) ?? DEFAULT_WEIGHT,
      held,
      persistent,
      waiting,
      work: [...work].map(([priority, amount]) => ({
        priority,
        work: amount,
        arriving: computeProduct(arrived.get(priority) ?? new ResourceSum(), 1 / periodMs),
      })),
    }));
    loads.set(service, list);
  }
  return loads;
}

function addHeld(context: OwnerContext, pools: Map<string, Map<string, TeamTotals>>): void {
  for (const target of context.fleet.targets) {
    if (!target.isRegistered) continue;
    for (const { task } of target.assignments) {
      const { definition, job } = task.step;
      const totals = getTotals(pools, target.entry.service, job.stored.team);
      const footprint = getFootprint(definition);
      totals.held.add(footprint);
      if (definition.isPersistent) totals.persistent.add(footprint);
    }
  }
}

function addWaiting(
  context: OwnerContext,
  pools: Map<string, Map<string, TeamTotals>>,
  newSince: number,
): void {
  const wallNow = getWallNow();
  const pending = context.reconciliation.getPending(context.clock.now);
  for (const record of context.active.values()) {
    const { job, route } = record;
    if (route === undefined || job.isPersistent) continue;
    const runnable = new Set(job.listWaitingSteps(wallNow));
    const totals = getTotals(pools, route.service, job.stored.team);
    for (const occurrence of job.occurrences.values()) {
      if (!isOnTime(context, record, occurrence, wallNow)) continue;
      for (const step of occurrence.steps) {
        const count = record.isInherited
          ? countWaiting(pending, step, [route.service])
          : step.waitingCount;
        if (count === 0) continue;
        const request = computeProduct(getFootprint(step.definition), count);
        if (runnable.has(step)) totals.waiting.add(request);
        const taskMs = context.durations.estimateTaskMs(route.name, step.definition);
        const isNew = !record.isInherited && record.arrivedAt > newSince;
        totals.addWork(route.priority, computeProduct(request, taskMs), isNew);
      }
    }
  }
}

/** Whether an occurrence can still meet its latency objective. */
function isOnTime(
  { clock, durations }: OwnerContext,
  { job, route, arrivedAt }: JobRecord,
  occurrence: Occurrence,
  wallNow: number,
): boolean {
  const estimateTaskMs = (step: Step): number => durations.estimateTaskMs(job.stored.route, step);
  const pathMs = computeCriticalPathMs(job.stored.submission.steps, estimateTaskMs);
  const objectiveMs = (route?.stretch ?? 1) * pathMs + (route?.latencyObjectiveMs ?? 0);
  const elapsedMs = occurrence.dueAt > 0 ? wallNow - occurrence.dueAt : clock.now - arrivedAt;
  const remainingMs = computeRemainingCriticalPathMs(occurrence, clock.now, estimateTaskMs);
  return elapsedMs + remainingMs <= objectiveMs;
}

/** Counts the tasks of a step of an earlier term that surely wait: those that no target may run unreported. */
function countWaiting(pending: PendingRuns, step: StepRun, services: readonly string[]): number {
  if (pending.isAnyAwaited(services, false)) return 0;
  let count = step.waitingCount;
  for (const name of pending.getTasks(step.name)) {
    const index = Number(name.slice(name.lastIndexOf('.') + 1));
    if (step.isTaskWaiting(index) && pending.isAwaited(name, services, false)) count -= 1;
  }
  return count;
}

function getTotals(
  pools: Map<string, Map<string, TeamTotals>>,
  service: string,
  team: string,
): TeamTotals {
  const teams = pools.get(service) ?? new Map<string, TeamTotals>();
  pools.set(service, teams);
  const totals = teams.get(team) ?? new TeamTotals();
  teams.set(team, totals);
  return totals;
}

function computeProduct(amount: Resources, factor: number): Resources {
  return {
    cpuMillis: amount.cpuMillis * factor,
    memoryMb: amount.memoryMb * factor,
    gpus: amount.gpus * factor,
  };
}
