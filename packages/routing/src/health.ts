import type { Instant } from '@currantgap/model';
import {
  FAILURES_TO_EJECT,
  FIRST_EJECTION_MS,
  MAXIMUM_EJECTION_MS,
  SLOW_START_MS,
} from './defaults.ts';

/** Whether a target receives requests. */
export enum HealthStatus {
  Healthy = 'healthy',
  Ejected = 'ejected',
  /** Receives one request at a time, which shows whether the target works again. */
  Probing = 'probing',
}

/** Outlier detection for one target, based on the requests of this entry. */
export class TargetHealth {
  #consecutiveFailures = 0;
  #consecutiveEjections = 0;
  #ejectedUntil: Instant = 0;
  #slowStartEndsAt: Instant = 0;
  #isEjected = false;

  /** Gets the status at a point in time. */
  getStatus(now: Instant): HealthStatus {
    if (!this.#isEjected) return HealthStatus.Healthy;
    return now < this.#ejectedUntil ? HealthStatus.Ejected : HealthStatus.Probing;
  }

  /** Whether the consecutive failures have reached the limit for an ejection. */
  shouldEject(): boolean {
    return !this.#isEjected && this.#consecutiveFailures >= FAILURES_TO_EJECT;
  }

  /** Ejects the target for a time that doubles with each consecutive ejection. */
  eject(now: Instant): void {
    const ejectionMs = Math.min(
      MAXIMUM_EJECTION_MS,
      FIRST_EJECTION_MS * 2 ** this.#consecutiveEjections,
    );
    this.#isEjected = true;
    this.#consecutiveEjections += 1;
    this.#ejectedUntil = now + ejectionMs;
  }

  /**
   * Records a complete response that is not a server error. Returns an ejected target to service,
   * beginning with slow start. Once slow start has ended, the next success resets the duration of
   * the next ejection.
   */
  recordSuccess(now: Instant): void {
    this.#consecutiveFailures = 0;
    if (!this.#isEjected) {
      if (now >= this.#slowStartEndsAt) this.#consecutiveEjections = 0;
      return;
    }
    this.#isEjected = false;
    this.beginSlowStart(now);
  }

  /**
   * Records a server error, a lost response or a refused connection. Ejects the target again if it
   * was being probed.
   */
  recordFailure(now: Instant): void {
    this.#consecutiveFailures += 1;
    if (this.getStatus(now) === HealthStatus.Probing) this.eject(now);
  }

  /** Begins slow start when the target returns to service. */
  beginSlowStart(now: Instant): void {
    this.#slowStartEndsAt = now + SLOW_START_MS;
  }

  /** Computes how many of `slots` may be used now, which is at least one. */
  computeUsableSlots(slots: number, now: Instant): number {
    const remainingMs = this.#slowStartEndsAt - now;
    if (remainingMs <= 0) return slots;
    return Math.max(1, Math.floor(slots * (1 - remainingMs / SLOW_START_MS)));
  }
}
