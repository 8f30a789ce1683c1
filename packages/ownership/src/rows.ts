import type { RowKey } from '@currantgap/store';

/** Part with the lease and fence rows and all rows that the owner writes under its fence. */
export const OWNER_PART = 'fleet';
/** Lease row: the owner renews it and contenders watch it. */
export const LEASE_ROW: RowKey = { table: 'owner-lease', part: OWNER_PART, key: 'lease' };
/** Fence row: changes only at a take-over; every write of the owner depends on its version. */
export const FENCE_ROW: RowKey = { table: 'owner-fence', part: OWNER_PART, key: 'fence' };

/** Content of the lease row, encoded under these field names. */
export interface LeaseRow {
  /** Name of the owner's node. */
  readonly node: string;
  /** Identifies one lifetime of the owner's process. */
  readonly incarnation: string;
  /** `host:port` of the owner's peer listener. */
  readonly address: string;
  /** Number of take-overs so far, including that of this owner. */
  readonly epoch: number;
  /** Whether the owner has handed over, so that a contender may take over at once. */
  readonly isReleased: boolean;
  /** Whether the owner has read all jobs, so that it can schedule. */
  readonly isSettled: boolean;
  /** Number of consecutive terms before this one that ended before their owner had settled. */
  readonly unsettledTerms: number;
  /** Nodes that may take over before all others, the most suitable one first. */
  readonly successors: readonly string[];
  /** Milliseconds that contenders add to the lease because the owner is slow to renew. */
  readonly slackMs: number;
  /** Lease expiry on the store's monotonic clock; undefined if that clock was not known. */
  readonly expiresAt: number | undefined;
  /** Milliseconds of the longest lease that the owner may have granted on a target. */
  readonly targetLeaseMs: number;
  /** Whether the owner stores each order for a VM before it sends it. */
  readonly logsVmOrders: boolean;
  /** Targets on which the owner may hold leases; only in rows of earlier versions of the product. */
  readonly targets?: readonly LeasedTarget[];
}

/** A target on which an owner may hold leases. */
export interface LeasedTarget {
  readonly id: string;
  readonly service: string;
  /**
   * Set while the target does not respond: the only tasks that may run there. The target gets no
   * new tasks until a later description of it omits this field.
   */
  readonly tasks?: readonly string[];
  /** Tasks whose starts were not answered while the target does not respond: it may carry them out late. */
  readonly unanswered?: readonly string[];
  /** Times on the store's clock, in milliseconds, at which those starts were sent, by task; missing if not known. */
  readonly startedAt?: Readonly<Record<string, number>>;
  /** Name of the VM; undefined if it is not known. */
  readonly vm?: string;
  /** Start of the registered incarnation, Unix milliseconds. */
  readonly bornAt?: number;
  /**
   * Start of the last incarnation, Unix milliseconds, on which no call of the past could take effect any
   * more; undefined if it is not known.
   */
  readonly closedBornAt?: number;
}

/** Values of the fields that rows of earlier versions of the product lack. */
const LEASE_DEFAULTS = {
  slackMs: 0,
  isSettled: true,
  unsettledTerms: 0,
  successors: [],
  targetLeaseMs: 3_000,
  logsVmOrders: false,
};

/** Encodes a lease row. */
export function encodeLease(row: LeaseRow): string {
  return JSON.stringify(row);
}

/** Decodes a lease row; returns undefined if the value is not a JSON object. */
export function decodeLease(value: string): LeaseRow | undefined {
  try {
    const row = JSON.parse(value) as LeaseRow | null;
    return typeof row === 'object' && row !== null ? { ...LEASE_DEFAULTS, ...row } : undefined;
  } catch {
    return undefined;
  }
}
