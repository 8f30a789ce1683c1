import type { LeaseRow } from './rows.ts';

/** Milliseconds without a renewal after which a contender takes over: four renewals. */
export const LEASE_MS = 1_200;
/** Milliseconds by which the store's clock must have passed a lease before it counts as gone. */
const EXPIRY_MARGIN_MS = 100;
/** Milliseconds that a named successor has before another contender takes a released lease. */
const SUCCESSOR_HEAD_START_MS = 400;

/** Most milliseconds that a contender waits beyond a lapsed lease, so that few collide. */
const MAXIMUM_PATIENCE_MS = 250;
/** Cores with which a node takes over some hundred targets well within a lease. */
const SUFFICIENT_CORES = 0.6;
/** Milliseconds for each missing core: half of the sufficient ones outlast all chance. */
const WEAKNESS_MS = 1_000;

/** Draws how long a node waits beyond a lapsed lease: the stronger ones go first. */
export function computePatience(cores: number, chance: number): number {
  const missing = Math.max(0, SUFFICIENT_CORES - cores);
  return chance * MAXIMUM_PATIENCE_MS + missing * WEAKNESS_MS;
}

/** What a contender knows of the lease. */
export interface LeaseView {
  /** Undefined where no node has owned the fleet yet. */
  readonly lease: LeaseRow | undefined;
  /** The contender. */
  readonly node: string;
  /** Milliseconds that it waits beyond the lease, so that contenders do not collide. */
  readonly patienceMs: number;
  /** Milliseconds for which it has seen the row unchanged. */
  readonly unchangedMs: number;
  /** The store's clock; undefined unless the store always answered in the contender's lifetime. */
  readonly storeNow: number | undefined;
}

/** Computes the milliseconds until a contender may take over. */
export function computeWait(view: LeaseView): number {
  const { lease, node, patienceMs, unchangedMs } = view;
  if (lease === undefined) return patienceMs - unchangedMs;
  if (!lease.isReleased) {
    const waitMs = LEASE_MS + lease.slackMs + patienceMs - unchangedMs;
    return Math.min(computeExpiry(lease, view), waitMs);
  }
  const { successor } = lease;
  if (successor === node) return 0;
  return (successor === undefined ? 0 : SUCCESSOR_HEAD_START_MS) + patienceMs - unchangedMs;
}

/**
 * Milliseconds until the store's clock has passed the lease. After a restart of all nodes nobody
 * needs to watch the row for the whole lease.
 */
function computeExpiry(lease: LeaseRow, { storeNow, patienceMs }: LeaseView): number {
  if (storeNow === undefined || lease.expiresAt === undefined) return Infinity;
  return lease.expiresAt + EXPIRY_MARGIN_MS + patienceMs - storeNow;
}
