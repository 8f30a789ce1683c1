import type { Store } from '@currantgap/store';
import type { Logger } from '@currantgap/telemetry';
import type { LeaseRow } from './rows.ts';

/** A period in which one node owns the fleet. */
export interface Term {
  readonly epoch: number;
  /** Fencing token of all orders of this term: the store version of the take-over. */
  readonly token: number;
  /** Version of the fence row; all writes of this term are conditional on it. */
  readonly fenceVersion: number;
  /** Lease row of the previous owner; undefined if there was none. */
  readonly predecessor: LeaseRow | undefined;
}

/** State that each renewal writes to the lease row for contenders. */
export interface TermReport {
  /** Whether all jobs have been read. */
  readonly isSettled: boolean;
  /** Nodes that may take over before all others, the most suitable one first. */
  readonly successors: readonly string[];
  /** Milliseconds of the longest lease that this node may have granted, or may grant, on a target. */
  readonly targetLeaseMs: number;
}

/** Receives the ownership events of this node and supplies the state that renewals write. */
export abstract class OwnershipListener {
  /** Called when this node has become the owner. */
  abstract handleTaken(term: Term): void;
  /** Called when the term has ended, including by a release. */
  abstract handleLost(reason: string): void;
  /** Returns the state that the next renewal writes. */
  abstract describeTerm(): TermReport;
  /**
   * Called when a lease row with a report is stored. `version` is a store version at which the term lasted,
   * `latencyMs` the time that the store took.
   */
  abstract handleRenewed(report: TermReport, version: number, latencyMs: number): void;
}

/** Options of a contender. */
export interface OwnershipOptions {
  readonly store: Store;
  readonly logger: Logger;
  /** Name of this node. */
  readonly node: string;
  /** Identifies this lifetime of the process. */
  readonly incarnation: string;
  /** `host:port` of this node's peer listener. */
  readonly address: string;
  /** Milliseconds that this node waits after lease expiry, so that contenders do not collide. */
  readonly takeOverDelayMs: number;
  /**
   * Whether this node has a connection to the owner of this epoch, over which it learns of a release
   * or loss. Only then it may pause between renewals; the connection's end calls `endPause`.
   */
  readonly isConnectedTo: (epoch: number) => boolean;
  readonly listener: OwnershipListener;
}
