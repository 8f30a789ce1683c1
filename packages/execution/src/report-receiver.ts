import type { OwnerContext } from './context.ts';
import type { LeaseRenewer } from './lease-renewer.ts';
import type { OwnerMessage } from './messages.ts';
import { LeaseRenewalFault } from './ports.ts';
import type { ReportProcessor } from './report-processor.ts';
import { deposeIfFenced } from './run-orders.ts';
import { LossReason } from './unlisted-runs.ts';

/** Receives the answers of targets to lease renewals and to requests for a report. */
export class ReportReceiver {
  readonly #context: OwnerContext;
  readonly #reportProcessor: ReportProcessor;
  readonly #leaseRenewer: LeaseRenewer;

  constructor(context: OwnerContext, reportProcessor: ReportProcessor, leaseRenewer: LeaseRenewer) {
    this.#context = context;
    this.#reportProcessor = reportProcessor;
    this.#leaseRenewer = leaseRenewer;
  }

  /** Applies the report that a target gave on request; an unanswered request has no effect. */
  applyImmediate(message: OwnerMessage & { kind: 'looked' }): void {
    const { target, report, sentAt, knownBornAt, token } = message;
    if (report.isErr() || target.isOutdated(report.value, knownBornAt)) return;
    const { bornAt } = target;
    const changeNumber = this.#reportProcessor.apply(target, report.value, sentAt, token);
    this.#leaseRenewer.recordApplied(target, changeNumber);
    const hasRestarted = target.bornAt !== bornAt;
    if (hasRestarted && !target.fence.isClosed) this.#leaseRenewer.requestReport(target);
  }

  /** Applies the result of a lease renewal. */
  applyRenewal(message: OwnerMessage & { kind: 'held' }): void {
    const { logger } = this.#context;
    const { target, acknowledgedThrough, report, sentAt, renewal, knownBornAt, token } = message;
    const isLatest = renewal === target.renewal;
    if (isLatest) target.isRenewalInFlight = false;
    if (report.isOk()) {
      target.overdueRenewals = 0;
      if (target.isOutdated(report.value, knownBornAt)) return;
      const isFirst = target.reportedAt === undefined;
      const changeNumber = this.#reportProcessor.apply(target, report.value, sentAt, token);
      if (target.bornAt === knownBornAt)
        target.confirmedThrough = Math.max(target.confirmedThrough, acknowledgedThrough);
      this.#leaseRenewer.continueAfterReport(target, changeNumber, isFirst);
      return;
    }
    if (report.error === LeaseRenewalFault.Fenced) {
      deposeIfFenced(this.#context, target, token);
      return;
    }
    // A later renewal says whether the target is silent.
    if (!isLatest) return;
    if (target.unansweredCalls === 0) {
      logger.writeWarning('target silent', { target: target.id, reason: report.error });
    }
    this.#leaseRenewer.recordSilence(target);
    if (report.error === LeaseRenewalFault.OtherIncarnation) {
      this.#context.reconciliation.recordReport(target.id);
      this.#reportProcessor.recordAllLost(target, LossReason.OtherIncarnation);
    }
  }
}
