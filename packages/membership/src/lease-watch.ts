import type { Incarnation, Instant } from '@currantgap/model';

interface ObservedLease {
  readonly version: number;
  readonly unchangedSince: Instant;
}

/**
 * Watches the lease rows of members. A lease expires only after this process has itself observed
 * the row unchanged for the full lease time, so clocks of different VMs need not agree.
 */
export class LeaseWatch {
  readonly #leaseMs: number;
  readonly #observedLeases = new Map<Incarnation, ObservedLease>();

  constructor(leaseMs: number) {
    this.#leaseMs = leaseMs;
  }

  /** Records the version of a lease row as read at `now`. */
  observe(incarnation: Incarnation, version: number, now: Instant): void {
    if (this.#observedLeases.get(incarnation)?.version === version) return;
    this.#observedLeases.set(incarnation, { version, unchangedSince: now });
  }

  /** Discards all observations. While the table is unavailable, no lease can be renewed. */
  reset(): void {
    this.#observedLeases.clear();
  }

  hasExpired(incarnation: Incarnation, now: Instant): boolean {
    const lease = this.#observedLeases.get(incarnation);
    return lease !== undefined && now - lease.unchangedSince >= this.#leaseMs;
  }
}
