import type { LeaseRow } from './rows.ts';
import { computeSlack, LEASE_MS } from './take-over-timing.ts';
import type { OwnershipOptions, TermReport } from './term.ts';

/** What a lease row is built from. */
export interface LeaseContent {
  readonly options: OwnershipOptions;
  readonly epoch: number;
  readonly report: TermReport;
  /** Number of consecutive terms before this one that ended before their owner had settled. */
  readonly unsettledTerms: number;
  /** Latency in milliseconds of the last renewal. */
  readonly latencyMs: number;
}

/** Builds the row of an owner's lease that begins now. */
export function buildLease(content: LeaseContent): LeaseRow {
  const { options, epoch, report, unsettledTerms, latencyMs } = content;
  const { node, incarnation, address, store } = options;
  const slackMs = computeSlack({ isSettled: report.isSettled, unsettledTerms, latencyMs });
  return {
    ...report,
    node,
    incarnation,
    address,
    epoch,
    isReleased: false,
    logsVmOrders: true,
    unsettledTerms,
    slackMs,
    expiresAt: store.now === undefined ? undefined : Math.round(store.now + LEASE_MS + slackMs),
  };
}

/**
 * Adds the leases of the predecessor to the first report of a term: a successor that sees only the row
 * of this term must wait for them as well.
 */
export function addEarlierLeases(
  report: TermReport,
  predecessor: LeaseRow | undefined,
): TermReport {
  const earlierLeaseMs = predecessor?.targetLeaseMs ?? 0;
  return { ...report, targetLeaseMs: Math.max(report.targetLeaseMs, earlierLeaseMs) };
}
