/** Milliseconds by which the wall clock has to run ahead before a suspension is assumed. */
const MINIMUM_SUSPENSION_MS = 50;

/**
 * Monotonic clock that also counts the time for which the machine was suspended, like
 * `CLOCK_BOOTTIME`. Node.js has no access to that clock; only the wall clock shows a suspension, so
 * a wall clock that is set forward looks like one.
 */
export class BootClock {
  #suspendedMs = 0;
  /** Difference of the wall clock and the monotonic clock, in milliseconds. */
  #wallOffsetMs = Date.now() - performance.now();

  /** Milliseconds since an arbitrary moment. */
  get now(): number {
    const monotonicNow = performance.now();
    const growthMs = Date.now() - monotonicNow - this.#wallOffsetMs;
    if (Math.abs(growthMs) >= MINIMUM_SUSPENSION_MS) {
      this.#wallOffsetMs += growthMs;
      this.#suspendedMs += Math.max(0, growthMs);
    }
    return monotonicNow + this.#suspendedMs;
  }
}
