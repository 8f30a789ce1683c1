import {
  computeCriticalPathMs,
  computeRemainingCriticalPathMs,
  type StepRun,
  type TaskRun,
} from '@currantgap/jobs';
import type { Resources } from '@currantgap/model';
import {
  chooseTarget,
  compareUrgency,
  getFootprint,
  hasRoom,
  isWithinCap,
  type PlacementRequest,
  type OrderingCriteria,
} from '@currantgap/scheduling';
import type { AdviceCache } from './advice-cache.ts';
import { getWallNow, type OwnerContext } from './context.ts';
import type { JobRecord } from './job-index.ts';
import type { Quarantine } from './quarantine.ts';
import { takeRunNumber, type RunOrders } from './run-orders.ts';
import type { TargetRecord } from './target-record.ts';
import { computeUnreportedRuns } from './unreported-runs.ts';

/** Multiple of the latency objective up to which a late completion still counts. */
const LATE_LIMIT_FACTOR = 3;

/** Milliseconds between computations of what targets without a report may run. */
const UNREPORTED_PERIOD_MS = 100;

/** A step with tasks that wait for targets. */
interface ReadyStep extends OrderingCriteria {
  readonly record: JobRecord;
  readonly step: StepRun;
  readonly waiting: readonly TaskRun[];
}

/** Places waiting tasks on targets and sends their start orders. */
export class Planner {
  readonly #context: OwnerContext;
  readonly #orders: RunOrders;
  readonly #advice: AdviceCache;
  readonly #quarantine: Quarantine;
  /** Resources that runs on targets without a report may use, by team. */
  #unreported: ReadonlyMap<string, Resources> = new Map();
  /** Monotonic time from which `#unreported` is computed again, in milliseconds. */
  #unreportedExpiresAt = 0;

  constructor(
    context: OwnerContext,
    orders: RunOrders,
    advice: AdviceCache,
    quarantine: Quarantine,
  ) {
    this.#context = context;
    this.#orders = orders;
    this.#advice = advice;
    this.#quarantine = quarantine;
  }

  /** Starts the waiting tasks that can start now, most urgent steps first. */
  plan(): void {
    if (this.#context.partitionGuard.shouldPause()) return;
    this.#refreshUnreported();
    for (const [service, steps] of this.#listReadySteps()) {
      steps.sort(compareUrgency);
      const open = this.#listOpenTargets(service);
      for (const step of steps) this.#place(step, open);
    }
  }

  /** Computes anew, once in a while, what may run unreported: it only shrinks during a term. */
  #refreshUnreported(): void {
    const { now } = this.#context.clock;
    if (now < this.#unreportedExpiresAt) return;
    this.#unreportedExpiresAt = now + UNREPORTED_PERIOD_MS;
    this.#unreported = computeUnreportedRuns(this.#context);
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
    const { active, clock } = this.#context;
    const { now } = clock;
    const wallNow = getWallNow();
    const byService = new Map<string, ReadyStep[]>();
    const unresolved = this.#context.fleet.listUnresolvedTasks();
    for (const record of active.values()) {
      if (record.route === undefined) continue;
      for (const step of record.job.listRunnableSteps(wallNow)) {
        const waiting = this.#listStartable(record, step, now).filter(
          ({ name }) => !unresolved.has(name),
        );
        if (waiting.length === 0) continue;
        const ready = this.#buildReadyStep(record, step, waiting, wallNow);
        const { service } = record.route;
        const list = byService.get(service);
        if (list === undefined) byService.set(service, [ready]);
        else list.push(ready);
      }
    }
    return byService;
  }

  /** Lists the tasks that may start; those of an earlier term only if no target can be running them. */
  #listStartable(record: JobRecord, step: StepRun, now: number): TaskRun[] {
    const waiting = step.listWaiting(now);
    const service = record.route?.service;
    const { reconciliation } = this.#context;
    if (service === undefined) return waiting;
    if (!record.isInherited) return reconciliation.canStartNew(service, now) ? waiting : [];
    return waiting.filter((task) => reconciliation.canStartInherited(task.name, service, now));
  }

  #buildReadyStep(
    record: JobRecord,
    step: StepRun,
    waiting: readonly TaskRun[],
    wallNow: number,
  ): ReadyStep {
    const { clock, durations } = this.#context;
    const { job, route } = record;
    const estimateTaskMs = (definition: StepRun['definition']): number =>
      durations.estimateTaskMs(job.stored.route, definition);
    const criticalPathMs = computeCriticalPathMs(job.stored.submission.steps, estimateTaskMs);
    const objectiveMs = (route?.stretch ?? 1) * criticalPathMs + (route?.latencyObjectiveMs ?? 0);
    const { dueAt } = step.occurrence;
    const elapsedMs = dueAt > 0 ? wallNow - dueAt : clock.now - record.arrivedAt;
    return {
      record,
      step,
      waiting,
      isPersistent: step.definition.isPersistent,
      priority: route?.priority ?? 0,
      timeToObjectiveMs: objectiveMs - elapsedMs,
      timeToLateLimitMs: LATE_LIMIT_FACTOR * objectiveMs - elapsedMs,
      remainingMs: computeRemainingCriticalPathMs(step.occurrence, clock.now, (definition, runMs) =>
        durations.estimateRemainingMs(job.stored.route, definition, runMs),
      ),
      isWithinWeight: record.isWithinWeight,
      hasStarted: job.hasStarted,
      acceptedAt: record.arrivedAt,
    };
  }

  #place(ready: ReadyStep, pool: readonly TargetRecord[]): void {
    const { step, waiting, record } = ready;
    if (pool.length === 0 || record.route === undefined) return;
    const open = this.#advice.listAllowed(step, record.route, pool, waiting.length);
    if (open.length === 0) return;
    if (step.definition.isGang) {
      this.#placeGang(step, open);
      return;
    }
    const request = this.#buildRequest(step);
    for (const task of waiting) {
      if (!this.#isTeamWithinCap(step, step.definition.request)) return;
      const target = this.#chooseTarget({ ...request, failedOn: task.failedOn }, task, open);
      if (target === undefined && task.isSuspect) continue;
      if (target === undefined) return;
      const ticket = this.#advice.getTicket(step, target.id);
      this.#orders.start(task, target, takeRunNumber(this.#context, task), ticket);
      if (task.isSuspect) this.#quarantine.begin(target);
    }
  }

  /** Chooses a target; one for a task that may have crashed another target runs nothing unproven. */
  #chooseTarget(
    request: PlacementRequest,
    task: TaskRun,
    open: readonly TargetRecord[],
  ): TargetRecord | undefined {
    if (!task.isSuspect) return chooseTarget(request, this.#quarantine.listOrdinary(open));
    for (const group of this.#quarantine.listForSuspect(open)) {
      const target = chooseTarget(request, group);
      if (target !== undefined) return target;
    }
    this.#quarantine.holdTarget(open);
    return undefined;
  }

  /** Starts all tasks of a gang, or none if one of them has no target. */
  #placeGang(step: StepRun, open: readonly TargetRecord[]): void {
    if (step.tasks.some((task) => task.isActive || !task.isWaiting(this.#context.clock.now)))
      return;
    const { request, count } = step.definition;
    if (!this.#isTeamWithinCap(step, computeProduct(request, count))) return;
    const racks = new Map<string, TargetRecord[]>();
    for (const target of open) racks.set(target.rack, [...(racks.get(target.rack) ?? []), target]);
    const groups = step.definition.isSameRack ? [...racks.values(), open] : [open];
    for (const group of groups) {
      const targets = this.#chooseGangTargets(step, group);
      if (targets === undefined) continue;
      const [first] = step.tasks;
      if (first === undefined) return;
      const run = takeRunNumber(this.#context, first);
      const checkpoint = step.tasks.find((task) => task.checkpoint !== '')?.checkpoint ?? '';
      for (const [index, task] of step.tasks.entries()) {
        const target = targets[index];
        if (target === undefined) continue;
        task.checkpoint = checkpoint;
        this.#orders.start(task, target, run, this.#advice.getTicket(step, target.id));
      }
      return;
    }
  }

  /** Chooses a target for each task of a gang without reserving resources. */
  #chooseGangTargets(step: StepRun, group: readonly TargetRecord[]): TargetRecord[] | undefined {
    const footprint = getFootprint(step.definition);
    const plannedCounts = new Map<string, number>();
    const chosen: TargetRecord[] = [];
    for (const task of step.tasks) {
      const candidates = group.filter((target) =>
        hasRoom(
          target.capacity,
          addScaled(target.used, footprint, plannedCounts.get(target.id) ?? 0),
          footprint,
        ),
      );
      const request = { ...this.#buildRequest(step), failedOn: task.failedOn };
      const countOn = (id: string): number => request.countOn(id) + (plannedCounts.get(id) ?? 0);
      const target = chooseTarget({ ...request, countOn }, candidates);
      if (target === undefined) return undefined;
      plannedCounts.set(target.id, (plannedCounts.get(target.id) ?? 0) + 1);
      chosen.push(target);
    }
    return chosen;
  }

  #buildRequest(step: StepRun): Omit<PlacementRequest, 'failedOn'> & { failedOn: Set<string> } {
    const { bounds, fleet } = this.#context;
    const firstAttempt = step.tasks.flatMap((task) => task.attempts)[0];
    const stepRack =
      firstAttempt === undefined ? undefined : fleet.find(firstAttempt.targetId)?.rack;
    return {
      step: step.definition,
      footprint: getFootprint(step.definition),
      remoteFactor: bounds.remoteFactor,
      stepRack,
      countOn: (targetId) => countAttemptsOn(step, targetId),
      failedOn: new Set(),
    };
  }

  /** Whether the team of a step may run more tasks that request these resources. */
  #isTeamWithinCap(step: StepRun, request: Resources): boolean {
    const { fleet, getOperatorView } = this.#context;
    const { team } = step.job.stored;
    const cap = getOperatorView().configuration?.teams.find(({ name }) => name === team)?.cap;
    if (cap === undefined) return true;
    const unreported = this.#unreported.get(team);
    const added = unreported === undefined ? request : addScaled(request, unreported, 1);
    return isWithinCap(cap, fleet.getRunning(team), added);
  }
}

/** Counts the runs of a step on a target. */
function countAttemptsOn(step: StepRun, targetId: string): number {
  let count = 0;
  for (const task of step.tasks) {
    for (const attempt of task.attempts) if (attempt.targetId === targetId) count += 1;
  }
  return count;
}

function computeProduct(amount: Resources, factor: number): Resources {
  return addScaled({ cpuMillis: 0, memoryMb: 0, gpus: 0 }, amount, factor);
}

function addScaled(base: Resources, amount: Resources, factor: number): Resources {
  return {
    cpuMillis: base.cpuMillis + amount.cpuMillis * factor,
    memoryMb: base.memoryMb + amount.memoryMb * factor,
    gpus: base.gpus + amount.gpus * factor,
  };
}
