import type { RowKey } from '@currantgap/store';

/** Part in which the owner's rows, and all that it writes under its fence, lie. */
export const OWNER_PART = 'fleet';
/** Row that the owner renews; contenders watch it. */
export const LEASE_ROW: RowKey = { table: 'owner-lease', part: OWNER_PART, key: 'lease' };
/** Row that changes only at a take-over; every write of the owner has its version as a condition. */
export const FENCE_ROW: RowKey = { table: 'owner-fence', part: OWNER_PART, key: 'fence' };

/** What the lease row says. */
export interface LeaseRow {
  readonly node: string;
  /** One lifetime of a process. */
  readonly incarnation: string;
  /** `host:port` of the owner's peer listener. */
  readonly address: string;
  /** Number of take-overs so far. */
  readonly epoch: number;
  /** The owner has handed over; a contender may take over at once. */
  readonly isReleased: boolean;
  /** Node that should take over first after a release. */
  readonly successor: string | undefined;
  /** Milliseconds beyond the lease for which contenders wait, as the store answers slowly. */
  readonly slackMs: number;
  /** On the store's steady clock: the owner counts as gone after it. */
  readonly expiresAt: number | undefined;
  /** Milliseconds from the owner's last order for a VM to this writing; undefined without one. */
  readonly vmOrderAgeMs: number | undefined;
  /** Targets on which this owner may hold leases. */
  readonly targets: readonly LeasedTarget[];
}

/** A target on which an owner may hold leases. */
export interface LeasedTarget {
  readonly id: string;
  readonly service: string;
  /**
   * Set while the target does not answer: the tasks that may run there, and no others, since it
   * gets none until a later writing leaves this out.
   */
  readonly tasks?: readonly string[];
}

/** Encodes a lease row. */
export function encodeLease(row: LeaseRow): string {
  return JSON.stringify(row);
}

/** Decodes a lease row; undefined where it is none. */
export function decodeLease(value: string): LeaseRow | undefined {
  try {
    // A row of an earlier version of the product does not say by how much to wait longer.
    return { slackMs: 0, ...(JSON.parse(value) as Omit<LeaseRow, 'slackMs'>) };
  } catch {
    return undefined;
  }
}
