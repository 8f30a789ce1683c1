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

/** Lower bound recorded for an active run. */
interface ActiveBound {
  readonly elapsedMs: number;
  readonly bound: RecordedBound;
}

/**
 * Teaches the duration model from the ends of runs, and from active runs that take longer than
 * expected. What the target and its place add to a duration is taken out first.
 */
export class DurationRecorder {
  readonly #options: DurationRecorderOptions;
  readonly #bounds = new WeakMap<Attempt, ActiveBound>();
  #checkNotBefore = 0;

  constructor(options: DurationRecorderOptions) {
    this.#options = options;
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
    if (kind === EndKind.Stopped) this.#recordStopped(target, assignment);
    if (kind !== EndKind.Done) return {};
    const { attempt, task } = assignment;
    const { durations, observe } = this.#options;
    const { definition, job } = task.step;
    const { route } = job.stored;
    const actualMs = this.#computeElapsedMs(assignment);
    const expectedMs = durations.estimateTaskMs(route, definition);
    const remoteFactor = this.#getRemoteFactor(target, assignment);
    const isMeasured = attempt.isWhole && effect !== EndEffect.None && !definition.isPersistent;
    if (isMeasured && attempt.pace === FULL_PACE) {
      const replaces = this.#bounds.get(attempt)?.bound;
      const ownMs = actualMs / (remoteFactor * this.#computeRelativeSlowness(target));
      durations.record(route, definition, ownMs, { replaces });
    }
    // A run that began earlier than this term knows, or at a checkpoint, shows only that it succeeded.
    const ratio = attempt.isWhole ? actualMs / (expectedMs * remoteFactor) : target.health.slowness;
    target.health.recordSuccess(ratio);
    if (!isMeasured) return {};
    observe?.(route, actualMs / expectedMs);
    return {
      route,
      declaredMs: getDeclaredMs(definition),
      expectedMs: Math.round(expectedMs),
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
    if (definition.isPersistent || attempt.phase !== AttemptPhase.Running) return;
    if (!attempt.isWhole || !attempt.isListed || attempt.pace !== FULL_PACE) return;
    // The run is known to have lasted until the last report.
    const elapsedMs = (target.reportedAt ?? 0) - attempt.startedAt;
    const known = this.#bounds.get(attempt);
    if (known !== undefined && elapsedMs < BOUND_GROWTH * known.elapsedMs) return;
    const { durations } = this.#options;
    const { route } = job.stored;
    const overdueMs = durations.estimateQuantileMs(route, definition, OVERDUE_PART);
    if (elapsedMs <= overdueMs) return;
    const ownMs = this.#computeOwnMs(target, assignment, elapsedMs);
    if (ownMs > overdueMs) this.#recordBound(assignment, elapsedMs, ownMs);
  }

  #recordStopped(target: TargetRecord, assignment: Assignment): void {
    const { isWhole, pace } = assignment.attempt;
    if (!isWhole || pace !== FULL_PACE) return;
    const elapsedMs = this.#computeElapsedMs(assignment);
    this.#recordBound(assignment, elapsedMs, this.#computeOwnMs(target, assignment, elapsedMs));
  }

  #recordBound({ attempt, task }: Assignment, elapsedMs: number, ownMs: number): void {
    const { definition, job } = task.step;
    const replaces = this.#bounds.get(attempt)?.bound;
    const { route } = job.stored;
    const bound = this.#options.durations.recordCensored(route, definition, ownMs, { replaces });
    this.#bounds.set(attempt, { elapsedMs, bound });
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
    const others = task.step.tasks.flatMap(({ attempts }) => attempts);
    const isSpread = others.some(({ targetId }) => fleet.find(targetId)?.rack !== target.rack);
    return isSpread ? factor * remoteFactor : factor;
  }

  /**
   * Computes how slow a target is, compared with the busy targets of its pool. If all are slow, then it
   * is the tasks that take longer.
   */
  #computeRelativeSlowness(target: TargetRecord): number {
    const slownesses = this.#options.fleet
      .listPool(target.entry.service)
      .filter((other) => other === target || other.assignmentCount > 0)
      .map(({ slowness }) => slowness)
      .sort((left, right) => left - right);
    const usual = slownesses[(slownesses.length - 1) >> 1] ?? target.slowness;
    const relative = usual > 0 ? target.slowness / usual : 1;
    return Math.min(MAXIMUM_SLOWNESS, Math.max(MINIMUM_SLOWNESS, relative));
  }
}
