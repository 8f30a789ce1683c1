import type { LeaseRow } from './rows.ts';

/** Milliseconds without a renewal after which the lease expires: four renewal intervals. */
export const LEASE_MS = 1_200;
/** Milliseconds past lease expiry on the store's clock before the lease counts as expired. */
const EXPIRY_MARGIN_MS = 100;
/** Milliseconds for which only the named successor may take a released lease. */
const SUCCESSOR_HEAD_START_MS = 400;

/** Maximum jitter in milliseconds, so that few contenders try to take over at the same time. */
const MAXIMUM_JITTER_MS = 250;
/** Cores with which a node takes over about a hundred targets well within a lease. */
const SUFFICIENT_CORES = 0.6;
/**
 * Milliseconds of delay per missing core. A node with half of the sufficient cores waits longer
 * than any node with all of them, whatever their jitter.
 */
const MISSING_CORE_DELAY_MS = 1_000;

/**
 * Computes the milliseconds that a node waits after lease expiry before it takes over. Nodes with
 * few cores wait longer, so that a stronger node takes over first.
 *
 * @param random A random number from 0 to 1.
 */
export function computeTakeOverDelay(cores: number, random: number): number {
  const missingCores = Math.max(0, SUFFICIENT_CORES - cores);
  return random * MAXIMUM_JITTER_MS + missingCores * MISSING_CORE_DELAY_MS;
}

/** The lease as seen by a contender. */
export interface LeaseView {
  /** Undefined while no node has owned the fleet yet. */
  readonly lease: LeaseRow | undefined;
  /** Name of the contending node. */
  readonly node: string;
  /** Milliseconds that the node waits after lease expiry, so that contenders do not collide. */
  readonly takeOverDelayMs: number;
  /** Milliseconds for which the node has seen the lease row unchanged. */
  readonly unchangedMs: number;
  /** The store's clock; undefined if unknown or if any store call of this process has failed. */
  readonly storeNow: number | undefined;
}

/** Computes the milliseconds until a contender may take over; 0 or less means now. */
export function computeRemainingWait(view: LeaseView): number {
  const { lease, node, takeOverDelayMs, unchangedMs } = view;
  if (lease === undefined) return takeOverDelayMs - unchangedMs;
  if (!lease.isReleased) {
    const waitMs = LEASE_MS + lease.slackMs + takeOverDelayMs - unchangedMs;
    return Math.min(computeTimeToExpiry(lease, view), waitMs);
  }
  const { successor } = lease;
  if (successor === node) return 0;
  return (successor === undefined ? 0 : SUCCESSOR_HEAD_START_MS) + takeOverDelayMs - unchangedMs;
}

/**
 * Computes the milliseconds until a contender may take over by the store's clock. After a restart
 * of all nodes, this saves contenders from watching the row for a whole lease.
 */
function computeTimeToExpiry(lease: LeaseRow, { storeNow, takeOverDelayMs }: LeaseView): number {
  if (storeNow === undefined || lease.expiresAt === undefined) return Infinity;
  return lease.expiresAt + EXPIRY_MARGIN_MS + takeOverDelayMs - storeNow;
}
