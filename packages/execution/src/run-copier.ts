import {
  AttemptPhase,
  computeFollowingPathMs,
  type Attempt,
  type StepRun,
  type TaskRun,
} from '@currantgap/jobs';
import { Feature, type Route, type Step } from '@currantgap/model';
import {
  canHaveCopies,
  chooseTarget,
  CopyBudget,
  estimateRemainingMs,
  isProgressKnown,
  isStraggler,
  shouldCopy,
  STRAGGLER_QUANTILE,
  type CopyProposal,
  type RunProgress,
} from '@currantgap/scheduling';
import type { AdviceCache } from './advice-cache.ts';
import {
  getMaximumAttempts,
  getWallNow,
  listPossibleServices,
  type OwnerContext,
} from './context.ts';
import { CopyLog, type CopyOutcome } from './copy-log.ts';
import type { JobRecord } from './job-index.ts';
import { computeJobTiming } from './job-timing.ts';
import { buildPlacementRequest } from './placement-requests.ts';
import type { Quarantine } from './quarantine.ts';
import { takeRunNumber, type RunOrders } from './run-orders.ts';
import type { Assignment, TargetRecord } from './target-record.ts';
import type { TeamCaps } from './team-caps.ts';

/** Milliseconds between searches for stragglers. */
const SEARCH_PERIOD_MS = 100;
/** Slowness from which a target gets a copy only if no other target has room. */
const SLOW_TARGET_RATIO = 1.5;

/** A run that takes far longer than most tasks of its step. */
interface Straggler {
  readonly task: TaskRun;
  readonly attempt: Attempt;
  readonly target: TargetRecord;
  readonly record: JobRecord;
  readonly route: Route;
  readonly progress: RunProgress;
}

/** What a copier needs from the planner. */
export interface RunCopierOptions {
  readonly context: OwnerContext;
  readonly orders: RunOrders;
  readonly advice: AdviceCache;
  readonly quarantine: Quarantine;
  readonly caps: TeamCaps;
  /** Asks a target for a report before a run on it is copied. */
  readonly requestReport: (target: TargetRecord) => void;
  /** Called for each copy that starts and that ends. */
  readonly onCopy?: ((outcome: CopyOutcome) => void) | undefined;
}

/** The pools as the planner left them. */
export interface PlannedPools {
  /** Services with tasks that wait for room. */
  readonly crowded: ReadonlySet<string>;
  /** Lists the targets of a pool that accept new work now. */
  readonly listOpenTargets: (service: string) => readonly TargetRecord[];
}

/**
 * Starts a second run of a task whose run takes far longer than expected, where the step allows
 * duplicates and the pool has room to spare. The run that is done first counts; the report
 * processor stops the other one.
 */
export class RunCopier {
  readonly #options: RunCopierOptions;
  readonly #log: CopyLog;
  readonly #budgets = new Map<string, CopyBudget>();
  /** Runs whose targets were asked how far they are. */
  readonly #asked = new WeakSet<Attempt>();
  #searchNotBefore = 0;

  constructor(options: RunCopierOptions) {
    this.#options = options;
    this.#log = new CopyLog(options.context, options.onCopy ?? (() => undefined));
  }

  /** Records that tasks of a pool were started; the budget of copies is a share of these. */
  recordStarts(service: string, count: number): void {
    if (count > 0) this.#getBudget(service).recordStarts(count, this.#options.context.clock.now);
  }

  /** Starts the copies that are worth it, those of the longest overdue runs first. */
  plan(pools: PlannedPools): void {
    const { clock, bounds } = this.#options.context;
    const { now } = clock;
    if (now < this.#searchNotBefore || bounds.disabledFeatures?.has(Feature.Copies)) return;
    this.#searchNotBefore = now + SEARCH_PERIOD_MS;
    this.#log.recordEnds();
    const stragglers = this.#listStragglers(pools.crowded);
    if (stragglers.length === 0) return;
    stragglers.sort((left, right) => computeOverrun(right) - computeOverrun(left));
    const unresolved = this.#options.context.fleet.listUnresolvedTasks();
    for (const straggler of stragglers) {
      if (!unresolved.has(straggler.task.name)) this.#tryCopy(straggler, pools);
    }
  }

  #listStragglers(crowded: ReadonlySet<string>): Straggler[] {
    const stragglers: Straggler[] = [];
    for (const target of this.#options.context.fleet.targets) {
      for (const assignment of target.assignments) {
        const straggler = this.#findStraggler(target, assignment, crowded);
        if (straggler !== undefined) stragglers.push(straggler);
      }
    }
    return stragglers;
  }

  #findStraggler(
    target: TargetRecord,
    { task, attempt }: Assignment,
    crowded: ReadonlySet<string>,
  ): Straggler | undefined {
    const { active, clock, durations } = this.#options.context;
    const { definition, job } = task.step;
    if (!canHaveCopies(definition) || attempt.phase !== AttemptPhase.Running) return undefined;
    if (attempt.isEndAwaited) return undefined;
    if (task.isDone || task.isSuspect || task.attempts.length !== 1 || this.#log.hasCopied(task))
      return undefined;
    const record = active.get(job.id);
    const route = record?.route;
    if (record === undefined || route === undefined || crowded.has(route.service)) return undefined;
    const progress = {
      elapsedMs: clock.now - attempt.startedAt,
      reportedMs: (target.reportedAt ?? 0) - attempt.startedAt,
      isSilent: target.unansweredCalls > 0,
      percent: attempt.percent,
      quantileMs: durations.estimateQuantileMs(job.stored.route, definition, STRAGGLER_QUANTILE),
    };
    if (!isStraggler(progress)) return undefined;
    // A copy that fails must not fail the job while the original may still be done.
    const hasAttemptToSpare = task.failures + 1 < getMaximumAttempts(route);
    if (!record.isWithinWeight || !hasAttemptToSpare) return undefined;
    return { task, attempt, target, record, route, progress };
  }

  #tryCopy(straggler: Straggler, pools: PlannedPools): void {
    const { advice, caps, context, orders } = this.#options;
    const { task, attempt, record, route, progress } = straggler;
    const { step } = task;
    const { now } = context.clock;
    const budget = this.#getBudget(route.service);
    const budgetLeft = budget.computeLeft(now);
    if (budgetLeft === 0 || !this.#canStartAnother(straggler)) return;
    if (!caps.isWithin(step, step.definition.request)) return;
    const expectedMs = context.durations.estimateTaskMs(route.name, step.definition);
    const timing = this.#computeTiming(record, step);
    const originalMs = estimateRemainingMs(progress);
    if (!shouldCopy({ ...timing, originalMs: Infinity, copyMs: expectedMs })) return;
    const open = pools.listOpenTargets(route.service).filter(({ id }) => id !== attempt.targetId);
    const allowed = advice.listAllowed(step, route, open, 1);
    const target = this.#chooseTarget(straggler, allowed);
    if (target === undefined || !this.#isProgressKnown(straggler)) return;
    const copyMs = expectedMs * this.#computeSlowdown(step.definition, target);
    if (!shouldCopy({ ...timing, originalMs, copyMs })) return;
    const run = takeRunNumber(context, task);
    orders.start(task, target, run, advice.getTicket(step, target.id));
    const copy = task.findAttempt(target.id, run);
    if (copy === undefined) return;
    budget.recordCopy(now);
    this.#log.recordStart({ task, original: attempt, copy, expectedMs }, progress, budgetLeft - 1);
  }

  /** Whether no target that has not reported yet can hold another run of the task. */
  #canStartAnother({ task, record, route }: Straggler): boolean {
    const { context } = this.#options;
    const { clock, reconciliation, routeHistory } = context;
    if (!routeHistory.canStart(route)) return false;
    const services = listPossibleServices(context, record);
    return record.isInherited
      ? reconciliation.canStartInherited(task.name, services, clock.now)
      : reconciliation.canStartNew(services, clock.now);
  }

  /** Whether it is known how far a run is; asks its target once if not. */
  #isProgressKnown({ attempt, target, progress }: Straggler): boolean {
    if (isProgressKnown(progress)) return true;
    if (!this.#asked.has(attempt)) this.#options.requestReport(target);
    this.#asked.add(attempt);
    return false;
  }

  #computeTiming(record: JobRecord, step: StepRun): Omit<CopyProposal, 'originalMs' | 'copyMs'> {
    const { context } = this.#options;
    const { route, submission } = record.job.stored;
    return {
      ...computeJobTiming(context, record, step, getWallNow()),
      followingMs: computeFollowingPathMs(submission.steps, step.index, (definition) =>
        context.durations.estimateTaskMs(route, definition),
      ),
    };
  }

  /** Chooses a target that is not slow, if possible on another rack, unless the data ties the task. */
  #chooseTarget(
    { task, target: original }: Straggler,
    open: readonly TargetRecord[],
  ): TargetRecord | undefined {
    const request = buildPlacementRequest(this.#options.context, task);
    const ordinary = this.#options.quarantine.listOrdinary(open);
    const healthy = ordinary.filter(({ slowness }) => slowness < SLOW_TARGET_RATIO);
    const { dataRack, isSameRack } = task.step.definition;
    const elsewhere = healthy.filter(({ rack }) => rack !== original.rack);
    const isTiedToRack = dataRack !== undefined || isSameRack;
    for (const group of isTiedToRack ? [healthy, ordinary] : [elsewhere, healthy, ordinary]) {
      const target = chooseTarget(request, group);
      if (target !== undefined) return target;
    }
    return undefined;
  }

  #computeSlowdown({ dataRack }: Step, { rack, slowness }: TargetRecord): number {
    const isRemote = dataRack !== undefined && dataRack !== rack;
    return Math.max(1, slowness) * (isRemote ? this.#options.context.bounds.remoteFactor : 1);
  }

  #getBudget(service: string): CopyBudget {
    const known = this.#budgets.get(service);
    if (known !== undefined) return known;
    const created = new CopyBudget();
    this.#budgets.set(service, created);
    return created;
  }
}

function computeOverrun({ progress }: Straggler): number {
  return progress.elapsedMs / progress.quantileMs;
}
