/**
 * Measures the time since its creation, including time for which the machine was suspended: the
 * monotonic clock stands still then, and only the wall clock shows it.
 */
export class Stopwatch {
  readonly #startedAt = performance.now();
  /** Unix milliseconds. */
  readonly #wallStartedAt = Date.now();

  /** Elapsed milliseconds; too many, but never too few, if the wall clock was set forward. */
  get elapsedMs(): number {
    const monotonicMs = performance.now() - this.#startedAt;
    return Math.max(monotonicMs, Date.now() - this.#wallStartedAt);
  }
}
