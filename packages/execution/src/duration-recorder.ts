import { getDeclaredMs, type DurationModel, type RecordedBound } from '@currantgap/estimation';
import { AttemptPhase, EndEffect, type Attempt } from '@currantgap/jobs';
import { EndKind } from '@currantgap/model';
import type { Clock } from '@currantgap/tasks';
import type { LogContext } from '@currantgap/telemetry';
import type { Fleet } from './fleet.ts';
import type { Assignment, TargetRecord } from './target-record.ts';

/** Milliseconds between checks for runs that take longer than expected. */
const CHECK_PERIOD_MS = 500;
/** Part of the tasks whose runs have usually ended when a run counts as longer than expected. */
const OVERDUE_PART = 0.8;
/** Factor by which a run must last longer than at its last bound before the bound is raised. */
const BOUND_GROWTH = 2;
/** Pace of a run at full speed, percent. */
const FULL_PACE = 100;
/** Range of the slowness of a target, relative to its pool, that is taken out of durations. */
const MINIMUM_SLOWNESS = 0.5;
const MAXIMUM_SLOWNESS = 16;

/** Options of a recorder. */
export interface DurationRecorderOptions {
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly durations: DurationModel;
  /** Slowdown factor of a task away from its data or across racks. */
  readonly remoteFactor: number;
  /** Called with the ratio of a task's actual to its expected duration, and its route. */
  readonly observe?: ((route: string, ratio: number) => void) | undefined;
}

/** A run that began in this term and not at a checkpoint, so that its duration is the task's. */
interface WholeRun {
  /** Duration in milliseconds that was expected at the start. */
  readonly expectedMs: number;
  /** Lower bound that was recorded for the run. */
  bound?: RecordedBound;
  /** Milliseconds for which the run had lasted at the lower bound. */
  boundAtMs: number;
}

/**
 * Teaches the duration model from the ends of runs, and from active runs that take longer than
 * expected. What the target and its place add to a duration is taken out first.
 */
export class DurationRecorder {
  readonly #options: DurationRecorderOptions;
  readonly #runs = new WeakMap<Attempt, WholeRun>();
  /** Slowness of the pools by service, until it is computed anew. */
  readonly #pools = new Map<string, PoolSlowness>();
  #poolsExpireAt = 0;
  #checkNotBefore = 0;

  constructor(options: DurationRecorderOptions) {
    this.#options = options;
  }

  /** Records the start of a run; runs that were not recorded so are not learned from. */
  recordStart({ attempt, task }: Assignment): void {
    const { definition, job } = task.step;
    if (definition.isPersistent || task.checkpoint !== '') return;
    const expectedMs = this.#options.durations.estimateTaskMs(job.stored.route, definition);
    this.#runs.set(attempt, { expectedMs, boundAtMs: 0 });
  }

  /**
   * Records the end of an assigned run in the model and in the target's health. Returns the durations
   * for the log if the run shows how long the task takes.
   */
  recordEnd(
    target: TargetRecord,
    assignment: Assignment,
    kind: EndKind,
    effect: EndEffect,
  ): LogContext {
    // An end that was listed late does not show how long the run took.
    if (assignment.attempt.isEndAwaited) return {};
    if (kind === EndKind.Stopped) this.#recordStopped(target, assignment);
    if (kind !== EndKind.Done) return {};
    const { attempt, task } = assignment;
    const { durations, observe } = this.#options;
    const { definition, job } = task.step;
    const { route } = job.stored;
    const actualMs = this.#computeElapsedMs(assignment);
    const run = this.#runs.get(attempt);
    if (run === undefined) {
      // A run of unknown duration shows only that the target has not failed it.
      target.health.recordSuccess(target.slowness);
      return {};
    }
    const usualMs =
      durations.estimateTaskMs(route, definition) * this.#getRemoteFactor(target, assignment);
    const slowness = actualMs / usualMs;
    if (effect === EndEffect.None) {
      target.health.recordSuccess(slowness);
      return {};
    }
    if (attempt.pace === FULL_PACE) {
      // The slowness before this end counts, which does not yet depend on it.
      const ownMs = this.#computeOwnMs(target, assignment, actualMs);
      durations.record(route, definition, ownMs, { replaces: run.bound });
    }
    target.health.recordSuccess(slowness);
    observe?.(route, actualMs / run.expectedMs);
    return {
      route,
      declaredMs: getDeclaredMs(definition),
      expectedMs: Math.round(run.expectedMs),
      actualMs: Math.round(actualMs),
    };
  }

  /** Records that active runs beyond their expectation last at least as long as they have. */
  sweep(): void {
    const { now } = this.#options.clock;
    if (now < this.#checkNotBefore) return;
    this.#checkNotBefore = now + CHECK_PERIOD_MS;
    for (const target of this.#options.fleet.targets) {
      for (const assignment of target.assignments) this.#checkActive(target, assignment);
    }
  }

  #checkActive(target: TargetRecord, assignment: Assignment): void {
    const { attempt, task } = assignment;
    const { definition, job } = task.step;
    const run = this.#runs.get(attempt);
    if (run === undefined || attempt.phase !== AttemptPhase.Running) return;
    if (!attempt.isListed || attempt.isEndAwaited || attempt.pace !== FULL_PACE) return;
    // The run is known to have lasted until the last report.
    const elapsedMs = (target.reportedAt ?? 0) - attempt.startedAt;
    if (elapsedMs < Math.max(run.expectedMs, BOUND_GROWTH * run.boundAtMs)) return;
    const { durations } = this.#options;
    const { route } = job.stored;
    const overdueMs = durations.estimateQuantileMs(route, definition, OVERDUE_PART);
    if (elapsedMs <= overdueMs) return;
    const ownMs = this.#computeOwnMs(target, assignment, elapsedMs);
    if (ownMs <= overdueMs) return;
    this.#recordBound(assignment, run, ownMs);
    run.boundAtMs = elapsedMs;
  }

  #recordStopped(target: TargetRecord, assignment: Assignment): void {
    const run = this.#runs.get(assignment.attempt);
    if (run === undefined || assignment.attempt.pace !== FULL_PACE) return;
    const elapsedMs = this.#computeElapsedMs(assignment);
    this.#recordBound(assignment, run, this.#computeOwnMs(target, assignment, elapsedMs));
  }

  #recordBound({ task }: Assignment, run: WholeRun, ownMs: number): void {
    const { definition, job } = task.step;
    const { route } = job.stored;
    const replaces = run.bound;
    run.bound = this.#options.durations.recordCensored(route, definition, ownMs, { replaces });
  }

  #computeElapsedMs({ attempt }: Assignment): number {
    return this.#options.clock.now - attempt.startedAt;
  }

  /** Computes the part of a duration that the target and its place do not explain. */
  #computeOwnMs(target: TargetRecord, assignment: Assignment, elapsedMs: number): number {
    const remoteFactor = this.#getRemoteFactor(target, assignment);
    return elapsedMs / (remoteFactor * this.#computeRelativeSlowness(target));
  }

  #getRemoteFactor(target: TargetRecord, { task }: Assignment): number {
    const { fleet, remoteFactor } = this.#options;
    const { dataRack, isSameRack } = task.step.definition;
    let factor = 1;
    if (dataRack !== undefined && dataRack !== target.rack) factor *= remoteFactor;
    if (!isSameRack) return factor;
    const targetIds = [...task.step.targetIds];
    const isSpread = targetIds.some((id) => fleet.find(id)?.rack !== target.rack);
    return isSpread ? factor * remoteFactor : factor;
  }

  /**
   * Computes how slow a target is, compared with the busy targets of its pool. If all are slow, then it
   * is the tasks that take longer.
   */
  #computeRelativeSlowness(target: TargetRecord): number {
    const usual = this.#getPool(target.entry.service).computeMedianWith(target);
    const relative = usual > 0 ? target.slowness / usual : 1;
    return Math.min(MAXIMUM_SLOWNESS, Math.max(MINIMUM_SLOWNESS, relative));
  }

  #getPool(service: string): PoolSlowness {
    const { clock, fleet } = this.#options;
    if (clock.now >= this.#poolsExpireAt) {
      this.#pools.clear();
      this.#poolsExpireAt = clock.now + CHECK_PERIOD_MS;
    }
    const known = this.#pools.get(service);
    if (known !== undefined) return known;
    const created = new PoolSlowness(fleet.listPool(service));
    this.#pools.set(service, created);
    return created;
  }
}

/** How slow the busy targets of a pool were at one time. */
class PoolSlowness {
  readonly #busy: ReadonlySet<string>;
  readonly #sorted: readonly number[];

  constructor(pool: readonly TargetRecord[]) {
    const busy = pool.filter(({ assignmentCount }) => assignmentCount > 0);
    this.#busy = new Set(busy.map(({ id }) => id));
    this.#sorted = busy.map(({ slowness }) => slowness).sort((left, right) => left - right);
  }

  /** Computes the lower median of the busy targets and a given one. */
  computeMedianWith({ id, slowness }: TargetRecord): number {
    const { length } = this.#sorted;
    if (this.#busy.has(id)) return this.#sorted[(length - 1) >> 1] ?? slowness;
    const middle = length >> 1;
    const below = this.#sorted[middle - 1] ?? -Infinity;
    return Math.max(below, Math.min(slowness, this.#sorted[middle] ?? Infinity));
  }
}
