/** Milliseconds of a lease on a target: long enough for a take-over while the store is fast. */
export const NORMAL_LEASE_MS = 3_000;
/** Milliseconds of a lease while a take-over would take long. */
const EXTENDED_LEASE_MS = 6_000;
/** Milliseconds that a renewal of the owner's lease takes while the store counts as slow. */
const SLOW_STORE_MS = 150;
/** Milliseconds without a sign of a slow store after which leases are normal again. */
const SLOW_STORE_MEMORY_MS = 4_000;

/** What owners of earlier terms may have granted. */
export interface EarlierLeases {
  /** Milliseconds of the longest lease. */
  readonly earlierLeaseMs: number;
  /** Monotonic time in milliseconds after which none of them lasts. */
  readonly earlierLeasesEndAt: number;
}

const NO_EARLIER_LEASES: EarlierLeases = { earlierLeaseMs: 0, earlierLeasesEndAt: -Infinity };

/**
 * Decides how long leases on targets last. A successor waits for silent targets as long as the
 * longest lease that its predecessor may have granted, so a longer one is announced in the lease row
 * before it is granted.
 */
export class LeasePolicy {
  readonly #normalMs: number;
  readonly #extendedMs: number;
  readonly #earlier: EarlierLeases;
  /** Monotonic times in milliseconds: until when leases should be extended and may be in force. */
  #extendUntil = -Infinity;
  #extendedInForceUntil = -Infinity;
  #isAnnounced = false;

  /** `maximumMs` is the longest lease that targets grant. */
  constructor(maximumMs: number, earlier = NO_EARLIER_LEASES) {
    this.#earlier = earlier;
    this.#normalMs = Math.min(NORMAL_LEASE_MS, maximumMs);
    this.#extendedMs = Math.min(EXTENDED_LEASE_MS, maximumMs);
  }

  /** Milliseconds of a lease that needs no announcement; start orders are valid as long. */
  get normalMs(): number {
    return this.#normalMs;
  }

  /** Records how long a renewal of the owner's lease took. */
  recordStoreLatency(latencyMs: number, now: number): void {
    if (latencyMs >= SLOW_STORE_MS) this.extend(now + SLOW_STORE_MEMORY_MS);
  }

  /** Extends leases until a time, from the moment at which this was announced. */
  extend(until: number): void {
    this.#extendUntil = Math.max(this.#extendUntil, until);
  }

  /**
   * Computes the longest lease, in milliseconds, that must be announced to a successor now: of this term,
   * or of an earlier one as long as it may last, since a successor sees only the row of this term.
   */
  computeAnnouncedMs(now: number): number {
    const isNeeded = now < Math.max(this.#extendUntil, this.#extendedInForceUntil);
    if (!isNeeded) this.#isAnnounced = false;
    const { earlierLeaseMs, earlierLeasesEndAt } = this.#earlier;
    const ownMs = isNeeded ? this.#extendedMs : this.#normalMs;
    return now < earlierLeasesEndAt ? Math.max(ownMs, earlierLeaseMs) : ownMs;
  }

  /** Records that a lease row which announces a longest lease is stored. */
  recordAnnounced(announcedMs: number): void {
    this.#isAnnounced = announcedMs >= this.#extendedMs;
  }

  /** Computes the milliseconds for which a lease may be granted now. */
  computeLeaseMs(now: number): number {
    if (!this.#isAnnounced || now >= this.#extendUntil) return this.#normalMs;
    this.#extendedInForceUntil = now + this.#extendedMs;
    return this.#extendedMs;
  }
}
