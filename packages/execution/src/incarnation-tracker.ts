import { LATEST_EXECUTION_MS, WALL_CLOCK_TOLERANCE_MS } from './call-timing.ts';
import { computeMaximumLeaseMs, getWallNow, type OwnerContext } from './context.ts';
import type { ActiveRun, EndedRun, TargetReport } from './ports.ts';
import type { TargetRecord } from './target-record.ts';
import { LossReason, type UnlistedRuns } from './unlisted-runs.ts';

/** Percent of full speed at which a filler runs by default. */
const FULL_PACE = 100;

/**
 * Tells the incarnations of a target apart by their reports, and ends what was known of an incarnation with
 * it: its runs, its ended runs, the stops that it accepted, and the presumption that it has ended.
 */
export class IncarnationTracker {
  readonly #context: OwnerContext;
  readonly #unlisted: UnlistedRuns;

  constructor(context: OwnerContext, unlisted: UnlistedRuns) {
    this.#context = context;
    this.#unlisted = unlisted;
  }

  /** Applies a report whose request was sent at `sentAt` with a fencing token. */
  apply(target: TargetRecord, report: TargetReport, sentAt: number, token: number): void {
    const isSuperseded = target.isSuperseded(report, sentAt);
    if (report.bornAt !== undefined && report.bornAt !== target.bornAt) {
      if (target.bornAt !== undefined) this.#endIncarnation(target, report, sentAt);
      else this.#checkEarlierGrants(target, report);
      target.bornAt = report.bornAt;
    }
    if (!isSuperseded) {
      target.fence.confirm();
      if (target.fence.close(token)) this.#recordClosed(target, report);
    }
    if (target.fence.isClosed) target.closedBornAt = target.bornAt ?? target.closedBornAt;
    this.#checkPresumedEnd(target, report, sentAt);
  }

  #endIncarnation(target: TargetRecord, report: TargetReport, sentAt: number): void {
    this.#context.logger.writeWarning('target restarted', {
      target: target.id,
      bornAt: report.bornAt ?? 0,
      knownBornAt: target.bornAt ?? 0,
      clockMs: report.clockMs,
    });
    this.#endRuns(target, report, sentAt);
    target.fence.open();
    target.expectForeignGrant(computeMaximumLeaseMs(this.#context), this.#context.clock.now);
    this.#writeLongestLease(target, 'restart');
    target.appliedThrough = 0;
    target.acknowledgedThrough = 0;
    target.confirmedThrough = 0;
    target.pace = FULL_PACE;
  }

  /**
   * Takes into account that an earlier owner, which may not have known the incarnation that reports for the
   * first time, has sent it grants on the clock of a former one. It is fenced off from now on.
   */
  #checkEarlierGrants(target: TargetRecord, report: TargetReport): void {
    const { clock, reconciliation, term } = this.#context;
    const maximumLeaseMs = computeMaximumLeaseMs(this.#context);
    const latestGrantAt = reconciliation.predecessorDeposedAt + LATEST_EXECUTION_MS;
    const ageMs = estimateAge(report);
    const isYoung = ageMs < maximumLeaseMs + LATEST_EXECUTION_MS;
    if (term.predecessor === undefined || !isYoung || clock.now - ageMs > latestGrantAt) return;
    target.leasesExpireAt = Math.max(target.leasesExpireAt, clock.now + maximumLeaseMs);
    this.#writeLongestLease(target, 'earlier owner');
  }

  #recordClosed(target: TargetRecord, { clockMs, running }: TargetReport): void {
    const { clock, logger } = this.#context;
    target.limitForeignGrants(computeMaximumLeaseMs(this.#context), clock.now);
    logger.writeInfo('fence closed', {
      target: target.id,
      token: target.fence.token,
      bornAt: target.bornAt ?? 0,
      clockMs,
      runs: running.length,
      leaseEndsInMs: Math.round(target.leasesExpireAt - clock.now),
    });
  }

  /**
   * Records the runs that had begun on the former incarnation as lost. A start without an answer may still
   * reach the new incarnation, which knows of no stop.
   */
  #endRuns(target: TargetRecord, report: TargetReport, sentAt: number): void {
    for (const { attempt } of target.assignments) {
      attempt.stopAnsweredAt = undefined;
      attempt.stopRetryAt = 0;
    }
    const lost = [...target.assignments].filter(
      ({ task, attempt }) =>
        sentAt > attempt.expectedInReportsAfter && !isListed(report, task.name, attempt.run),
    );
    this.#context.crashes.recordCrash(target, lost, report.bornAt ?? 0);
    if (report.hasMoreEnds) return;
    for (const assignment of lost) {
      if (assignment.attempt.hasBegun)
        this.#unlisted.recordLost(target, assignment, LossReason.OtherIncarnation);
    }
  }

  #writeLongestLease(target: TargetRecord, reason: string): void {
    const { clock, logger } = this.#context;
    const { id, leaseGrantedAt, leasesExpireAt } = target;
    logger.writeInfo('longest lease assumed', {
      target: id,
      reason,
      leaseEndsInMs: Math.round(leasesExpireAt - clock.now),
      ...(leaseGrantedAt === undefined
        ? {}
        : { grantAgeMs: Math.round(clock.now - leaseGrantedAt) }),
    });
  }

  /** Takes a target back that reports although its VM was ordered away before the request. */
  #checkPresumedEnd(target: TargetRecord, { bornAt }: TargetReport, sentAt: number): void {
    const { fleet, logger } = this.#context;
    const { endPresumedAt, entry } = target;
    if (endPresumedAt === undefined || sentAt <= endPresumedAt) return;
    if (bornAt !== undefined && bornAt !== entry.bornAt) return;
    fleet.reinstate(target);
    logger.writeInfo('target still up', { target: target.id, vm: entry.vm ?? '' });
  }
}

/** Estimates the least age of an incarnation in milliseconds: its clock need not have begun at 0. */
function estimateAge({ clockMs, bornAt }: TargetReport): number {
  if (bornAt === undefined) return clockMs;
  return Math.min(clockMs, getWallNow() - bornAt - WALL_CLOCK_TOLERANCE_MS);
}

function isListed({ running, ended }: TargetReport, task: string, run: number): boolean {
  const isSame = (listed: ActiveRun | EndedRun): boolean =>
    listed.task === task && listed.run === run;
  return running.some(isSame) || ended.some(isSame);
}
