import { AttemptPhase, type Attempt } from '@currantgap/jobs';
import type { OwnerContext } from './context.ts';
import type { RunOrders } from './run-orders.ts';
import type { Assignment, TargetRecord } from './target-record.ts';

/** Reason why all runs on a target are lost. */
export enum LossReason {
  LeasesExpired = 'lease lapsed',
  OtherIncarnation = 'another incarnation answers',
  VmOrdered = 'VM moved or maintained',
  /** The registry lacks the target, which may still hold a lease by a call of the past. */
  TargetGone = 'target gone',
}

/** A report that does not list a run. */
export interface ListingReport {
  /** Monotonic time at which the report was requested, in milliseconds. */
  readonly sentAt: number;
  /** Fencing token of the request; the target does nothing for a call with a lower one. */
  readonly token: number;
  /** Whether the target may hold further ended runs beyond those listed. */
  readonly hasMoreEnds: boolean;
}

/** Decides what became of assigned runs that their targets do not list. */
export class UnlistedRuns {
  readonly #context: OwnerContext;
  readonly #orders: RunOrders;

  constructor(context: OwnerContext, orders: RunOrders) {
    this.#context = context;
    this.#orders = orders;
  }

  /** Applies a report in which an assigned run is missing. */
  apply(target: TargetRecord, assignment: Assignment, report: ListingReport): void {
    if (report.hasMoreEnds) this.#recordPossibleEnd(target, assignment, report.sentAt);
    else this.#applyUnlisted(target, assignment, report);
  }

  /** Records that a run was lost with its target, or never began. */
  recordLost(target: TargetRecord, assignment: Assignment, reason: string): void {
    const { clock, fleet, logger, term } = this.#context;
    const { task, attempt } = assignment;
    const { now } = clock;
    const { leaseGrantedAt, leasesExpireAt, reportedAt } = target;
    fleet.unassign(target, assignment);
    task.endedAt = now;
    logger.writeWarning('run lost', {
      request: task.step.job.id,
      task: task.name,
      run: attempt.run,
      target: target.id,
      phase: attempt.phase,
      reason,
      epoch: term.epoch,
      leaseEndedMs: Math.round(now - leasesExpireAt),
      ...(leaseGrantedAt === undefined ? {} : { grantAgeMs: Math.round(now - leaseGrantedAt) }),
      ...(reportedAt === undefined ? {} : { reportAgeMs: Math.round(now - reportedAt) }),
    });
  }

  /**
   * Handles an assigned run that is in neither list of a report whose ended runs were cut off. It is
   * not active, but it may have ended, so nothing is decided before its end is listed.
   */
  #recordPossibleEnd(target: TargetRecord, { task, attempt }: Assignment, sentAt: number): void {
    const hasBegun =
      attempt.phase === AttemptPhase.Running || attempt.phase === AttemptPhase.Stopping;
    if (!hasBegun || attempt.isEndAwaited || sentAt <= attempt.expectedInReportsAfter) return;
    attempt.isEndAwaited = true;
    this.#context.logger.writeInfo('run end awaited', {
      request: task.step.job.id,
      task: task.name,
      run: attempt.run,
      target: target.id,
      phase: attempt.phase,
      acknowledgedThrough: target.acknowledgedThrough,
    });
  }

  /**
   * Handles an assigned run that a report does not list: its start may be in flight, it may never have
   * begun, or it is lost.
   */
  #applyUnlisted(target: TargetRecord, assignment: Assignment, report: ListingReport): void {
    const { attempt } = assignment;
    const { sentAt } = report;
    if (attempt.phase === AttemptPhase.Starting || sentAt <= attempt.expectedInReportsAfter) return;
    if (attempt.phase === AttemptPhase.Running) {
      this.recordLost(target, assignment, 'not listed');
      return;
    }
    if (isStartPrevented(target, attempt, report)) {
      this.#recordLateStart(target, assignment);
      this.recordLost(target, assignment, 'never began');
      return;
    }
    this.#orders.resolveUncertain(assignment);
  }

  /** Records a start that the incarnation for which it was meant did not answer before its end. */
  #recordLateStart({ id, bornAt }: TargetRecord, { task, attempt }: Assignment): void {
    const { allowsDuplicates, isPersistent } = task.step.definition;
    // A persistent task may not wait for one target.
    if (allowsDuplicates || isPersistent) return;
    if (attempt.hasBegun || attempt.bornAt === bornAt) return;
    task.lateStart = { targetId: id, startedAt: attempt.startedAt };
  }
}

/** Whether a run that a report does not list can no longer begin on the incarnation that reports. */
function isStartPrevented(
  target: TargetRecord,
  attempt: Attempt,
  { sentAt, token }: ListingReport,
): boolean {
  if (!attempt.hasBegun && sentAt < attempt.sentBefore) return false;
  if (attempt.token < token) return true;
  const { stopAnsweredAt, expiresAt } = attempt;
  if (stopAnsweredAt !== undefined && sentAt > stopAnsweredAt) return true;
  const isExpiryValid = target.bornAt === undefined || target.bornAt === attempt.bornAt;
  return isExpiryValid && sentAt > expiresAt;
}
