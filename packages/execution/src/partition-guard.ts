import type { Clock } from '@currantgap/tasks';
import type { Fleet } from './fleet.ts';

/**
 * Length of the period before the lease was last seen valid, in milliseconds. A silent target is
 * taken into account only if its last report arrived in this period or later.
 */
const RECENT_REPORT_MS = 2_000;

/**
 * Detects that an owner which cannot renew its lease may be partitioned from the fleet. While all
 * targets keep answering under its fencing token, no successor is active, because a successor
 * renews leases on every target that it can reach. Once targets fall silent as well, this node may
 * be the one that is cut off. It must then neither start tasks nor renew leases, because a
 * successor relies on those leases to expire.
 */
export class PartitionGuard {
  readonly #fleet: Fleet;
  readonly #clock: Clock;
  readonly #hasValidLease: () => boolean;
  /** Monotonic time at which the owner's lease was last seen valid, in milliseconds. */
  #leaseValidAt: number;

  constructor(fleet: Fleet, clock: Clock, hasValidLease: () => boolean) {
    this.#fleet = fleet;
    this.#clock = clock;
    this.#hasValidLease = hasValidLease;
    this.#leaseValidAt = clock.now;
  }

  /** Whether starts and lease renewals must pause until the owner's lease is renewed again. */
  shouldPause(): boolean {
    if (this.#hasValidLease()) {
      this.#leaseValidAt = this.#clock.now;
      return false;
    }
    for (const { isRegistered, reportedAt, unansweredCalls } of this.#fleet.targets) {
      if (!isRegistered || unansweredCalls === 0 || reportedAt === undefined) continue;
      if (reportedAt > this.#leaseValidAt - RECENT_REPORT_MS) return true;
    }
    return false;
  }
}
