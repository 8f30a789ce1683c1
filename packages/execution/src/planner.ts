import type { Occurrence, StepRun, TaskRun } from '@currantgap/jobs';
import type { Resources } from '@currantgap/model';
import {
  chooseGangTargets,
  chooseTarget,
  getFootprint,
  ResourceSum,
  RoomCheck,
  type PlacementRequest,
} from '@currantgap/scheduling';
import type { Turn } from '@currantgap/sharing';
import type { AdviceCache } from './advice-cache.ts';
import { getWallNow, listPossibleServices, type OwnerContext } from './context.ts';
import type { JobRecord } from './job-index.ts';
import { computeJobTiming, type JobTiming } from './job-timing.ts';
import { buildGangRequest, buildStepRequest } from './placement-requests.ts';
import { LateStarts } from './late-starts.ts';
import { PoolShares, type WaitingStep } from './pool-shares.ts';
import type { Quarantine } from './quarantine.ts';
import { Reservations } from './reservations.ts';
import { RunCopier, type RunCopierOptions } from './run-copier.ts';
import { takeRunNumber, type RunOrders } from './run-orders.ts';
import type { TargetRecord } from './target-record.ts';
import { TeamCaps } from './team-caps.ts';

/** Tasks of one step that one pass starts at most: a pass is one turn of the event loop. */
const MAXIMUM_STARTS = 500;

/** A step with tasks that wait for targets. */
interface ReadyStep extends WaitingStep {
  readonly record: JobRecord;
  readonly step: StepRun;
  /** The tasks that this pass may start; none of a gang, which starts as a whole. */
  readonly waiting: readonly TaskRun[];
}

/** What became of the tasks that were to be placed. */
interface PlacementResult {
  readonly placedCount: number;
  /** Whether a task found no room, so that no other one of the step does. */
  readonly isBlocked: boolean;
}

const BLOCKED: PlacementResult = { placedCount: 0, isBlocked: true };

/** Places waiting tasks on targets and sends their start orders. */
export class Planner {
  readonly #context: OwnerContext;
  readonly #orders: RunOrders;
  readonly #advice: AdviceCache;
  readonly #quarantine: Quarantine;
  readonly #shares: PoolShares;
  readonly #reservations: Reservations;
  readonly #caps: TeamCaps;
  readonly #copier: RunCopier;
  readonly #lateStarts: LateStarts;

  constructor(
    context: OwnerContext,
    orders: RunOrders,
    advice: AdviceCache,
    quarantine: Quarantine,
    copying: Pick<RunCopierOptions, 'requestReport' | 'onCopy'>,
  ) {
    this.#context = context;
    this.#orders = orders;
    this.#advice = advice;
    this.#quarantine = quarantine;
    this.#shares = new PoolShares(context);
    this.#reservations = new Reservations(context);
    this.#caps = new TeamCaps(context);
    this.#lateStarts = new LateStarts(context);
    this.#copier = new RunCopier({
      context,
      orders,
      advice,
      quarantine,
      caps: this.#caps,
      ...copying,
    });
  }

  /** Starts the waiting tasks that can start now, most urgent steps first, and copies of stragglers. */
  plan(): void {
    if (this.#context.partitionGuard.shouldPause() || !this.#orders.canStart) return;
    this.#caps.refresh();
    const crowded = new Set<string>();
    for (const [service, steps] of this.#listReadySteps()) {
      const open = this.#listOpenTargets(service);
      const room = new RoomCheck(open);
      const order = this.#shares.buildOrder(service, steps, open);
      for (let turn = order.take(); turn !== undefined; turn = order.take()) {
        const { placedCount, isBlocked } = this.#place(turn, open, room);
        order.record(placedCount, isBlocked);
        this.#copier.recordStarts(service, placedCount);
        if (!isBlocked || crowded.has(service)) continue;
        const { step } = turn.candidate;
        if (this.#caps.isWithin(step, step.definition.request)) crowded.add(service);
      }
    }
    this.#reservations.settle();
    this.#shares.sweep();
    this.#copier.plan({ crowded, listOpenTargets: (service) => this.#listOpenTargets(service) });
  }

  /** Computes the shares that the teams hold and are owed, by service; of contended pools only. */
  computeShares(): ReturnType<PoolShares['computeShares']> {
    return this.#shares.computeShares();
  }

  /** Lists the targets of a pool that accept new work now. */
  #listOpenTargets(service: string): TargetRecord[] {
    const { clock, fleet, getOperatorView } = this.#context;
    const { evacuated } = getOperatorView();
    return fleet
      .listPool(service)
      .filter((target) => target.isOpen(clock.now) && !evacuated.has(target.entry.dataCentre));
  }

  /** Lists the steps that have tasks to start, by service. */
  #listReadySteps(): Map<string, ReadyStep[]> {
    const { active, clock, routeHistory } = this.#context;
    const { now } = clock;
    const wallNow = getWallNow();
    const byService = new Map<string, ReadyStep[]>();
    const unresolved = this.#context.fleet.listUnresolvedTasks();
    for (const record of active.values()) {
      if (record.route === undefined || !routeHistory.canStart(record.route)) continue;
      const timings = new Map<Occurrence, JobTiming>();
      for (const step of record.job.listWaitingSteps(wallNow)) {
        const waiting = this.#listStartable(record, step, now, unresolved);
        if (waiting === undefined) continue;
        const timing =
          timings.get(step.occurrence) ?? computeJobTiming(this.#context, record, step, wallNow);
        timings.set(step.occurrence, timing);
        const ready = buildReadyStep(record, step, waiting, timing);
        const { service } = record.route;
        const list = byService.get(service);
        if (list === undefined) byService.set(service, [ready]);
        else list.push(ready);
      }
    }
    return byService;
  }

  /**
   * Lists tasks of a step that may start, as many as one pass starts; undefined if none may. Those of an earlier
   * term may only if no target can be running them, and a gang only if that holds for all members.
   */
  #listStartable(
    record: JobRecord,
    step: StepRun,
    now: number,
    unresolved: ReadonlySet<string>,
  ): TaskRun[] | undefined {
    const { reconciliation } = this.#context;
    const services = listPossibleServices(this.#context, record);
    const { isGang, isPersistent } = step.definition;
    const isAwaited = record.isInherited
      ? reconciliation.isPoolAwaited(services, now, isPersistent)
      : !reconciliation.canStartNew(services, now);
    if (isAwaited) return undefined;
    const isRestricted = record.isInherited && reconciliation.getPending(now).targets.length > 0;
    const isStartable = (name: string): boolean =>
      !unresolved.has(name) &&
      (!isRestricted || reconciliation.canStartInherited(name, services, now, isPersistent));
    const isIncluded = isRestricted || unresolved.size > 0 ? isStartable : undefined;
    if (isGang) return canStartGang(step, now, isIncluded) ? [] : undefined;
    const waiting = step.listWaiting(now, { limit: MAXIMUM_STARTS, isIncluded });
    return waiting.length > 0 ? waiting : undefined;
  }

  #place(
    { candidate, from, to }: Turn<ReadyStep>,
    pool: readonly TargetRecord[],
    room: RoomCheck,
  ): PlacementResult {
    const { step, waiting, record, footprint } = candidate;
    if (pool.length === 0 || record.route === undefined) return BLOCKED;
    const { service } = record.route;
    const advised = this.#advice.listAllowed(step, record.route, pool, waiting.length);
    const open = this.#reservations.listAllowed(service, step, advised);
    if (open.length === 0) return BLOCKED;
    if (step.definition.isGang) return this.#placeGang(step, open);
    let request: Omit<PlacementRequest, 'failedOn'> | undefined;
    let placedCount = 0;
    for (let index = from; index < to; index += 1) {
      const task = waiting[index];
      if (task === undefined) break;
      if (!this.#orders.canStart || !this.#caps.isWithin(step, step.definition.request))
        return { placedCount, isBlocked: true };
      let target: TargetRecord | undefined;
      if (task.isSuspect || room.hasRoom(footprint)) {
        request ??= buildStepRequest(this.#context, step);
        target = this.#chooseTarget({ ...request, failedOn: task.failedOn }, task, open);
      }
      if (target === undefined && (task.isSuspect || this.#lateStarts.isBound(task))) continue;
      if (target === undefined) {
        if (this.#shares.isShort(service))
          this.#reservations.recordBlocked(service, candidate, advised);
        return { placedCount, isBlocked: true };
      }
      const ticket = this.#advice.getTicket(step, target.id);
      this.#orders.start(task, target, takeRunNumber(this.#context, task), ticket);
      this.#reservations.recordStart(service, step, footprint, target);
      placedCount += 1;
      if (task.isSuspect) this.#quarantine.begin(target);
    }
    return { placedCount, isBlocked: false };
  }

  /** Chooses a target; one for a task that may have crashed another target runs nothing unproven. */
  #chooseTarget(
    request: PlacementRequest,
    task: TaskRun,
    open: readonly TargetRecord[],
  ): TargetRecord | undefined {
    const allowed = this.#lateStarts.listAllowed(task, open);
    if (!task.isSuspect) return chooseTarget(request, this.#quarantine.listOrdinary(allowed));
    for (const group of this.#quarantine.listForSuspect(allowed)) {
      const target = chooseTarget(request, group);
      if (target !== undefined) return target;
    }
    this.#quarantine.holdTarget(allowed);
    return undefined;
  }

  /** Starts all tasks of a gang, or none if one of them has no target. */
  #placeGang(step: StepRun, open: readonly TargetRecord[]): PlacementResult {
    for (const task of step.records) if (this.#lateStarts.isBound(task)) return BLOCKED;
    const { request, count } = step.definition;
    if (!this.#caps.isWithin(step, computeProduct(request, count))) return BLOCKED;
    const targets = this.#chooseGangTargets(step, open);
    if (targets === undefined) return BLOCKED;
    const { tasks } = step;
    const [first] = tasks;
    if (first === undefined) return BLOCKED;
    const run = takeRunNumber(this.#context, first);
    const checkpoint = tasks.find((task) => task.checkpoint !== '')?.checkpoint ?? '';
    for (const [index, task] of tasks.entries()) {
      const target = targets[index];
      if (target === undefined) continue;
      task.checkpoint = checkpoint;
      this.#orders.start(task, target, run, this.#advice.getTicket(step, target.id));
    }
    return { placedCount: count, isBlocked: false };
  }

  /** Chooses the targets of a gang's tasks: on one rack if the step asks for it and one has room. */
  #chooseGangTargets(
    step: StepRun,
    open: readonly TargetRecord[],
  ): readonly TargetRecord[] | undefined {
    const { count, isSameRack } = step.definition;
    const request = buildGangRequest(this.#context, step);
    for (const group of isSameRack ? [...groupByRack(open), open] : [open]) {
      const targets = chooseGangTargets(request, count, group);
      if (targets !== undefined) return targets;
    }
    return undefined;
  }
}

function buildReadyStep(
  record: JobRecord,
  step: StepRun,
  waiting: readonly TaskRun[],
  timing: JobTiming,
): ReadyStep {
  return {
    record,
    step,
    waiting,
    waitingCount: step.waitingCount,
    isPersistent: step.definition.isPersistent,
    priority: record.route?.priority ?? 0,
    ...timing,
    isWithinWeight: record.isWithinWeight,
    hasStarted: record.job.hasStarted,
    team: record.job.stored.team,
    footprint: getFootprint(step.definition),
    isGang: step.definition.isGang,
    acceptedAt: record.arrivedAt,
  };
}

/** Whether all tasks of a gang wait and may be started. */
function canStartGang(
  step: StepRun,
  now: number,
  isStartable: ((name: string) => boolean) | undefined,
): boolean {
  if (!step.canStartAll(now)) return false;
  if (isStartable === undefined) return true;
  for (let index = 0; index < step.count; index += 1)
    if (!isStartable(`${step.name}.${index}`)) return false;
  return true;
}

function groupByRack(targets: readonly TargetRecord[]): Iterable<readonly TargetRecord[]> {
  const racks = new Map<string, TargetRecord[]>();
  for (const target of targets) {
    const rack = racks.get(target.rack);
    if (rack === undefined) racks.set(target.rack, [target]);
    else rack.push(target);
  }
  return racks.values();
}

function computeProduct(amount: Resources, factor: number): Resources {
  const sum = new ResourceSum();
  sum.add(amount, factor);
  return sum;
}
