import { AttemptPhase } from '@currantgap/jobs';
import type { OwnerContext } from './context.ts';
import type { ReportProcessor } from './report-processor.ts';
import type { RunOrders } from './run-orders.ts';
import { LossReason } from './unlisted-runs.ts';

/** Milliseconds after the computed lease expiry at which a run counts as lost. */
const LEASE_EXPIRY_MARGIN_MS = 100;

/** Records runs whose leases have expired as lost, and repeats stops that were not answered. */
export class RunExpiry {
  readonly #context: OwnerContext;
  readonly #orders: RunOrders;
  readonly #reportProcessor: ReportProcessor;

  constructor(context: OwnerContext, orders: RunOrders, reportProcessor: ReportProcessor) {
    this.#context = context;
    this.#orders = orders;
    this.#reportProcessor = reportProcessor;
  }

  /** Checks all targets. */
  sweep(): void {
    const { clock, fleet, reconciliation } = this.#context;
    this.#sweepPartialReports();
    for (const target of [...fleet.targets]) {
      if (target.assignmentCount === 0) continue;
      const { grantsExpireAt, leasesExpireAt } = target;
      // A later target on the VM leaves no lease by calls of the past.
      const endsAt = fleet.isReplaced(target)
        ? Math.max(grantsExpireAt, reconciliation.deadline)
        : leasesExpireAt;
      if (clock.now > endsAt + LEASE_EXPIRY_MARGIN_MS)
        this.#reportProcessor.recordAllLost(target, LossReason.LeasesExpired);
      else if (!target.isRegistered) this.#reportProcessor.recordOutage(target);
      for (const assignment of target.assignments) {
        if (assignment.attempt.phase === AttemptPhase.Stopping)
          this.#orders.stop(assignment, 'repeated');
      }
    }
  }

  /** Stops awaiting ends that no longer count, since the leases of their targets have lapsed. */
  #sweepPartialReports(): void {
    const { clock, fleet, logger, reconciliation } = this.#context;
    for (const id of reconciliation.listPartial()) {
      const target = fleet.find(id);
      const isLeased =
        target !== undefined && clock.now <= target.leasesExpireAt + LEASE_EXPIRY_MARGIN_MS;
      if (isLeased) continue;
      reconciliation.recordReport(id);
      logger.writeInfo('unlisted ends void', { target: id });
    }
  }
}
