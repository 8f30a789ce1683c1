import { Feature } from '@currantgap/model';
import type { ResponseTimes } from '@currantgap/scheduling';
import { MAXIMUM_POLL_MS } from './call-timing.ts';
import type { OwnerContext } from './context.ts';
import { EndAcknowledger } from './end-acknowledger.ts';
import type { LeaseRenewalFault } from './ports.ts';
import type { TargetRecord } from './target-record.ts';

/**
 * The same while calls of targets have been left unanswered lately: the ends of runs are learned at the
 * latest by the renewal after a lost one.
 */
const WARY_POLL_MS = 200;
/** Milliseconds after an unanswered call for which renewals are short. */
const WARY_MS = 10_000;
/** Renewals in a row that are sent although an earlier one is still in flight. */
const MAXIMUM_OVERDUE_RENEWALS = 2;
/** Milliseconds for which an overdue answer may have arrived without having been read. */
const READ_MARGIN_MS = 50;
/** Milliseconds before a renewal is retried on a target that did not answer. */
const NO_ANSWER_RETRY_MS = 300;
/** Milliseconds before the same on a target that is presumed to have ended. */
const ENDED_RETRY_MS = 1_000;
/**
 * Targets that are asked for their first report at the same time, so that a new owner with a weak
 * processor or link does not delay its own lease renewals.
 */
const FIRST_REPORTS_IN_FLIGHT = 24;
/**
 * Milliseconds between renewals while ended runs cannot be acknowledged: the target answers
 * immediately then.
 */
const UNACKNOWLEDGED_PAUSE_MS = 250;

/** Milliseconds between renewals while the token of an open fence cannot be raised. */
const OPEN_FENCE_PAUSE_MS = 100;

/** Keeps one lease renewal in flight on each target, whose answer also reports the ended runs. */
export class LeaseRenewer {
  readonly #context: OwnerContext;
  readonly #acknowledger: EndAcknowledger;
  readonly #responseTimes: ResponseTimes;
  #waryUntil = 0;

  constructor(context: OwnerContext, responseTimes: ResponseTimes) {
    this.#context = context;
    this.#responseTimes = responseTimes;
    this.#acknowledger = new EndAcknowledger(context.fleet);
  }

  /** Sends the renewals that are due. */
  sendDue(): void {
    let firstReports = 0;
    for (const target of this.#context.fleet.targets) {
      this.#abandonIfOverdue(target);
      const isFirst = target.reportedAt === undefined && target.unansweredCalls === 0;
      if (isFirst && firstReports >= FIRST_REPORTS_IN_FLIGHT) continue;
      this.#sendIfDue(target);
      if (isFirst && target.isRenewalInFlight) firstReports += 1;
    }
  }

  /**
   * Records the ended runs of a report that was applied and sends the target's next renewal. After
   * its first report, the next targets are asked for theirs.
   */
  continueAfterReport(target: TargetRecord, changeNumber: number, isFirst: boolean): void {
    this.recordApplied(target, changeNumber);
    // The runs of earlier terms hold leases that no one else renews.
    if (isFirst) target.retryAcknowledgementAt = 0;
    this.#sendIfDue(target);
    if (isFirst) this.sendDue();
  }

  /** Records the ledger change that must be stored before the applied ends are acknowledged. */
  recordApplied(target: TargetRecord, changeNumber: number): void {
    this.#acknowledger.recordApplied(target, changeNumber);
    target.retryAcknowledgementAt = this.#hasUnacknowledgedEnds(target)
      ? this.#context.clock.now + UNACKNOWLEDGED_PAUSE_MS
      : 0;
  }

  /** Acknowledges the ended runs that the stored ledger covers. */
  recordWritten(changeNumber: number): void {
    for (const target of this.#acknowledger.recordWritten(changeNumber)) {
      target.retryAcknowledgementAt = 0;
      this.#sendIfDue(target);
    }
  }

  /** Records that a renewal returned no report. */
  recordSilence(target: TargetRecord): void {
    target.unansweredCalls += 1;
    target.fence.doubt();
    const retryMs = target.endPresumedAt === undefined ? NO_ANSWER_RETRY_MS : ENDED_RETRY_MS;
    target.renewNotBefore = this.#context.clock.now + retryMs;
  }

  /** Records that a target left a call unanswered, so that it and others may do so again. */
  recordUnanswered(): void {
    this.#waryUntil = this.#context.clock.now + WARY_MS;
  }

  /** Requests a report immediately, in addition to the renewal that is in flight. */
  requestReport(target: TargetRecord): void {
    void this.#request(target);
  }

  /**
   * Requests a report of a target that is probably down, and gives the call up after `timeoutMs`; resolves with
   * the reason if there is none.
   */
  async probe(target: TargetRecord, timeoutMs: number): Promise<LeaseRenewalFault | undefined> {
    return this.#request(target, timeoutMs);
  }

  async #request(target: TargetRecord, timeoutMs?: number): Promise<LeaseRenewalFault | undefined> {
    const { clock, post, targetPort } = this.#context;
    const sentAt = clock.now;
    const knownBornAt = target.bornAt;
    const token = this.#takeToken(target);
    const order = { token, acknowledgedThrough: 0, deadline: undefined, waitMs: 0, timeoutMs };
    const report = await targetPort.renewLeases(target.address, order);
    if (report.isErr()) return report.error;
    post({ kind: 'looked', target, sentAt, knownBornAt, token, report });
    return undefined;
  }

  /** Takes the token of a request for a report: a higher one than before if the target's fence is open. */
  #takeToken({ id, fence, leaseGrantedAt }: TargetRecord): number {
    const { clock, logger, writer } = this.#context;
    if (fence.raise(writer.provenVersion)) {
      logger.writeInfo('fence raised', {
        target: id,
        token: fence.token,
        ...(leaseGrantedAt === undefined
          ? {}
          : { grantAgeMs: Math.round(clock.now - leaseGrantedAt) }),
      });
    }
    return fence.token;
  }

  /** Whether the target's next answer would list ended runs that it has listed before. */
  #hasUnacknowledgedEnds(target: TargetRecord): boolean {
    return target.hasUnappliedEnds || this.#acknowledger.isWaiting(target.id);
  }

  /**
   * Lets the next renewal be sent beside one that is overdue, since the ends of runs are learned by
   * it. After a few in a row the target counts as slow or silent, which their timeouts show.
   */
  #abandonIfOverdue(target: TargetRecord): void {
    const { bounds, clock, sweepDelay } = this.#context;
    if (bounds.disabledFeatures?.has(Feature.OverdueCalls)) return;
    if (!target.isRenewalInFlight || target.assignmentCount === 0) return;
    if (clock.now < target.renewalDueAt + READ_MARGIN_MS || sweepDelay.isBusy(clock.now)) return;
    if (target.overdueRenewals >= MAXIMUM_OVERDUE_RENEWALS) return;
    target.overdueRenewals += 1;
    target.isRenewalInFlight = false;
    this.recordUnanswered();
    this.#context.logger.writeInfo('renewal overdue', {
      target: target.id,
      runs: target.assignmentCount,
      inRow: target.overdueRenewals,
    });
  }

  #getPollMs({ assignmentCount }: TargetRecord): number {
    const { clock, sweepDelay } = this.#context;
    const isWary = assignmentCount > 0 && clock.now < this.#waryUntil;
    return isWary && !sweepDelay.isBusy(clock.now) ? WARY_POLL_MS : MAXIMUM_POLL_MS;
  }

  #sendIfDue(target: TargetRecord): void {
    const { partitionGuard, clock, fleet, leasePolicy, post, reconciliation, targetPort } =
      this.#context;
    const { now } = clock;
    if (target.isRenewalInFlight || now < target.renewNotBefore) return;
    if (now < target.retryAcknowledgementAt) return;
    const isNeeded =
      target.assignmentCount > 0 ||
      target.endPresumedAt !== undefined ||
      now < target.lateCallsUntil ||
      reconciliation.isPartlyReported(target.id);
    if (!target.isRegistered && !isNeeded) {
      fleet.forget(target);
      return;
    }
    target.isRenewalInFlight = true;
    target.renewal += 1;
    const { renewal, bornAt: knownBornAt } = target;
    const token = this.#takeToken(target);
    const isClockKnown = target.hasClock && target.fence.isClosed;
    // Without a grant the target answers at once, which would not change anything.
    if (target.fence.isOpen) target.renewNotBefore = now + OPEN_FENCE_PAUSE_MS;
    const waitMs =
      isClockKnown && !this.#hasUnacknowledgedEnds(target) ? this.#getPollMs(target) : 0;
    const isUnconfirmed = target.acknowledgedThrough > target.confirmedThrough;
    const order = {
      token,
      // Repeated, it might make a later incarnation forget ends that nobody has read.
      acknowledgedThrough: isClockKnown && isUnconfirmed ? target.acknowledgedThrough : 0,
      // A restart resets the target's clock, so a deadline computed from an old reading is invalid.
      deadline:
        isClockKnown && !partitionGuard.shouldPause()
          ? target.grantLease(leasePolicy.computeLeaseMs(now), now)
          : undefined,
      waitMs,
    };
    target.renewalDueAt = now + waitMs + this.#responseTimes.limitMs;
    void targetPort.renewLeases(target.address, order).then((report) => {
      const { acknowledgedThrough } = order;
      post({
        kind: 'held',
        target,
        renewal,
        acknowledgedThrough,
        sentAt: now,
        knownBornAt,
        token,
        report,
      });
    });
  }
}
