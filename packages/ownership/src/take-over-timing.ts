import type { LeaseRow } from './rows.ts';

/** Milliseconds without a renewal after which the lease expires: four renewal intervals. */
export const LEASE_MS = 1_200;
/** Milliseconds past lease expiry on the store's clock before the lease counts as expired. */
const EXPIRY_MARGIN_MS = 100;
/**
 * Maximum milliseconds for which a node that is not named as a successor does not watch the lease.
 * Callers' reads of state go to the owner, and a new one should be known within a second.
 */
export const MAXIMUM_PAUSE_MS = 900;
/**
 * Milliseconds before lease expiry at which every node watches again: its poll reaches the store
 * before another node can take over, so that it learns of the new owner at once.
 */
const WATCH_LEAD_MS = 100;
/** Milliseconds between the times at which two named successors may take over. */
const SUCCESSOR_INTERVAL_MS = 150;
/** Milliseconds for which only named successors may take over. */
const SUCCESSOR_HEAD_START_MS = 400;

/** Maximum jitter in milliseconds, so that few contenders try to take over at the same time. */
const MAXIMUM_JITTER_MS = 250;
/** Cores with which a node takes over about a hundred targets well within a lease. */
const SUFFICIENT_CORES = 0.6;
/** Bandwidth of the link, in megabits per second, on which reading all jobs takes no time. */
const SUFFICIENT_LINK_MBPS = 50;
/**
 * Milliseconds of delay of a node without any processor or link. A node with half of what is
 * sufficient waits longer than any node with all of it, whatever their jitter.
 */
const MAXIMUM_WEAKNESS_DELAY_MS = 600;

/**
 * Number of store latencies that contenders add to the lease: one for a renewal and one for the
 * requests queued ahead of it.
 */
const SLACK_LATENCIES = 2;
/** Maximum milliseconds that contenders add to the lease because the store is slow. */
const MAXIMUM_SLACK_MS = 2_000;
/**
 * Number of store latencies that a contender leaves the owner if it finds the store slow itself: a
 * renewal waits behind other transactions, and the owner's lease row does not tell of it yet.
 */
const CONTENDER_LATENCIES = 6;
/** Milliseconds that contenders add to the lease of an owner that has not settled. */
const UNSETTLED_SLACK_MS = 800;
/** Maximum milliseconds of that addition after several terms that ended before they settled. */
const MAXIMUM_UNSETTLED_SLACK_MS = 12_800;

/** Resources of a node that matter to an owner. */
export interface NodeCapacity {
  /** Processor cores. */
  readonly cores: number;
  /** Bandwidth of the network link in megabits per second. */
  readonly linkMbps: number;
}

/**
 * Computes the milliseconds that a node waits after lease expiry before it takes over. Nodes with
 * few cores or a slow link wait longer, so that a stronger node takes over first.
 *
 * @param random A random number from 0 to 1.
 */
export function computeTakeOverDelay({ cores, linkMbps }: NodeCapacity, random: number): number {
  const sufficiency = Math.min(1, cores / SUFFICIENT_CORES, linkMbps / SUFFICIENT_LINK_MBPS);
  return random * MAXIMUM_JITTER_MS + (1 - sufficiency) * MAXIMUM_WEAKNESS_DELAY_MS;
}

/** Progress of a term, from which contenders derive their patience. */
export interface TermProgress {
  /** Whether the owner has read all jobs. */
  readonly isSettled: boolean;
  /** Number of consecutive terms before this one that ended before their owner had settled. */
  readonly unsettledTerms: number;
  /** Milliseconds that the last renewal took. */
  readonly latencyMs: number;
}

/**
 * Computes the milliseconds that contenders add to the lease. The addition for an owner that has not
 * settled doubles with each term that ended before its owner had settled, so that some term is long
 * enough for the work with which it begins.
 */
export function computeSlack({ isSettled, unsettledTerms, latencyMs }: TermProgress): number {
  const slackMs = Math.min(MAXIMUM_SLACK_MS, Math.round(SLACK_LATENCIES * latencyMs));
  if (isSettled) return slackMs;
  const unsettledSlackMs = UNSETTLED_SLACK_MS * 2 ** unsettledTerms;
  return Math.max(slackMs, Math.min(MAXIMUM_UNSETTLED_SLACK_MS, unsettledSlackMs));
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
  /** Milliseconds that the store took for the contender's last read of the lease row. */
  readonly storeLatencyMs: number;
}

/** Computes the milliseconds until a contender may take over; 0 or less means now. */
export function computeRemainingWait(view: LeaseView): number {
  const { lease, takeOverDelayMs, unchangedMs } = view;
  if (lease === undefined) return takeOverDelayMs - unchangedMs;
  const delayMs = computeContentionDelay(lease, view);
  if (lease.isReleased) return delayMs - unchangedMs;
  const patienceMs = delayMs + computeContenderSlack(lease, view);
  const waitMs = LEASE_MS + lease.slackMs + patienceMs - unchangedMs;
  return Math.min(computeTimeToExpiry(lease, patienceMs, view), waitMs);
}

/**
 * Computes the milliseconds for which a contender that has just seen a renewal need not watch the
 * lease. 0 for those who must act at once when it changes, and if lease expiry by the store's clock
 * is not known: the wait for it then begins when the renewal is seen.
 */
export function computeWatchPause({ lease, node, storeNow }: LeaseView): number {
  if (lease === undefined || lease.isReleased || !lease.isSettled) return 0;
  if (lease.successors.length === 0 || lease.successors.includes(node)) return 0;
  if (storeNow === undefined || lease.expiresAt === undefined) return 0;
  const waitMs = lease.expiresAt - WATCH_LEAD_MS - storeNow;
  return Math.max(0, Math.min(MAXIMUM_PAUSE_MS, waitMs));
}

/** Computes the milliseconds that a contender adds to the slack of the lease row. */
function computeContenderSlack({ slackMs }: LeaseRow, { storeLatencyMs }: LeaseView): number {
  const requiredMs = Math.min(MAXIMUM_SLACK_MS, CONTENDER_LATENCIES * storeLatencyMs);
  return Math.max(0, requiredMs - slackMs);
}

/** Computes the milliseconds that a contender waits after lease expiry or release. */
function computeContentionDelay(lease: LeaseRow, { node, takeOverDelayMs }: LeaseView): number {
  const rank = lease.successors.indexOf(node);
  if (rank >= 0) return rank * SUCCESSOR_INTERVAL_MS;
  return takeOverDelayMs + (lease.successors.length > 0 ? SUCCESSOR_HEAD_START_MS : 0);
}

/**
 * Computes the milliseconds until a contender may take over by the store's clock. After a restart
 * of all nodes, this saves contenders from watching the row for a whole lease.
 */
function computeTimeToExpiry(lease: LeaseRow, delayMs: number, { storeNow }: LeaseView): number {
  if (storeNow === undefined || lease.expiresAt === undefined) return Infinity;
  return lease.expiresAt + EXPIRY_MARGIN_MS + delayMs - storeNow;
}
