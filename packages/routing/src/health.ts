import type { Instant } from '@currantgap/model';
import {
  FAILURES_TO_EJECT,
  FIRST_EJECTION_MS,
  MAXIMUM_EJECTION_MS,
  SLOW_START_MS,
} from './defaults.ts';

/** Whether a target takes work. */
export enum HealthStatus {
  Healthy = 'healthy',
  Ejected = 'ejected',
  /** One request at a time tells whether the target works again. */
  Probing = 'probing',
}

/** The health of one target as one entry has seen it. */
export class TargetHealth {
  #failures = 0;
  #ejections = 0;
  #ejectedUntil: Instant = 0;
  #fullAt: Instant = 0;
  #isEjected = false;

  getStatus(now: Instant): HealthStatus {
    if (!this.#isEjected) return HealthStatus.Healthy;
    return now < this.#ejectedUntil ? HealthStatus.Ejected : HealthStatus.Probing;
  }

  /** Whether the target has failed so often that it should be ejected. */
  shouldEject(): boolean {
    return !this.#isEjected && this.#failures >= FAILURES_TO_EJECT;
  }

  /** Ejects the target for a time that doubles with each ejection in a row. */
  eject(now: Instant): void {
    const ejectionMs = Math.min(MAXIMUM_EJECTION_MS, FIRST_EJECTION_MS * 2 ** this.#ejections);
    this.#isEjected = true;
    this.#ejections += 1;
    this.#ejectedUntil = now + ejectionMs;
  }

  /** Records a whole and regular answer. */
  recordSuccess(now: Instant): void {
    this.#failures = 0;
    if (!this.#isEjected) {
      if (now >= this.#fullAt) this.#ejections = 0;
      return;
    }
    this.#isEjected = false;
    this.startSlowly(now);
  }

  /** Records an error, a lost answer or a refused connection. */
  recordFailure(now: Instant): void {
    this.#failures += 1;
    if (this.getStatus(now) === HealthStatus.Probing) this.eject(now);
  }

  /** Begins the time of slow start, on the target's return to service. */
  startSlowly(now: Instant): void {
    this.#fullAt = now + SLOW_START_MS;
  }

  /** Computes how many of `slots` may be used now; at least one. */
  computeUsableSlots(slots: number, now: Instant): number {
    const missingMs = this.#fullAt - now;
    if (missingMs <= 0) return slots;
    return Math.max(1, Math.floor(slots * (1 - missingMs / SLOW_START_MS)));
  }
}
