import type { Clock } from '@currantgap/tasks';
import type { Fleet } from './fleet.ts';

/** Milliseconds before the last confirmed renewal in which a report counts as of that time. */
const RECENT_MS = 2_000;

/**
 * Tells an owner that cannot renew its lease whether a successor may be at work. While all targets
 * go on to answer under its token, none is: a successor holds every target that it reaches. Once
 * targets fall silent as well, this node may be the one that is cut off: then it must not start
 * tasks or renew leases, for a successor counts on them to end.
 */
export class Caution {
  readonly #fleet: Fleet;
  readonly #clock: Clock;
  readonly #isConfirmed: () => boolean;
  #confirmedAt: number;

  constructor(fleet: Fleet, clock: Clock, isConfirmed: () => boolean) {
    this.#fleet = fleet;
    this.#clock = clock;
    this.#isConfirmed = isConfirmed;
    this.#confirmedAt = clock.now;
  }

  /** Tells whether starts and renewals must wait until the lease is renewed again. */
  shouldWait(): boolean {
    if (this.#isConfirmed()) {
      this.#confirmedAt = this.#clock.now;
      return false;
    }
    for (const { isRegistered, reportedAt, silences } of this.#fleet.targets) {
      if (!isRegistered || silences === 0 || reportedAt === undefined) continue;
      if (reportedAt > this.#confirmedAt - RECENT_MS) return true;
    }
    return false;
  }
}
