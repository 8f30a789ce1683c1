import type { Incarnation, Instant } from '@currantgap/model';

interface Watched {
  readonly version: number;
  readonly unchangedSince: Instant;
}

/**
 * Watches the lease rows of members. A lease has lapsed only when this process has itself watched
 * the row unchanged for the whole lease time, so no two clocks need to agree.
 */
export class LeaseWatch {
  readonly #leaseMs: number;
  readonly #watched = new Map<Incarnation, Watched>();

  constructor(leaseMs: number) {
    this.#leaseMs = leaseMs;
  }

  /** Records the version that a read of a lease row found. */
  observe(incarnation: Incarnation, version: number, now: Instant): void {
    if (this.#watched.get(incarnation)?.version === version) return;
    this.#watched.set(incarnation, { version, unchangedSince: now });
  }

  /** Forgets what was watched: while the table is away nobody can renew. */
  reset(): void {
    this.#watched.clear();
  }

  hasLapsed(incarnation: Incarnation, now: Instant): boolean {
    const watched = this.#watched.get(incarnation);
    return watched !== undefined && now - watched.unchangedSince >= this.#leaseMs;
  }
}
