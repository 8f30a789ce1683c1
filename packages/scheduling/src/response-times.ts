/** Weights of a new response time in the mean and in the mean deviation, as in RFC 6298. */
const MEAN_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
/** Mean deviations beyond the mean at which a response is overdue, as in RFC 6298. */
const DEVIATIONS = 4;
/** Shortest and longest milliseconds after which a response is overdue. */
const MINIMUM_LIMIT_MS = 100;
const MAXIMUM_LIMIT_MS = 700;

/** Learns from earlier responses after how long one is overdue. */
export class ResponseTimes {
  #meanMs: number | undefined;
  #deviationMs = 0;

  /** Records the milliseconds that a response took. */
  record(elapsedMs: number): void {
    if (this.#meanMs === undefined) {
      this.#meanMs = elapsedMs;
      this.#deviationMs = elapsedMs / 2;
      return;
    }
    const deviation = Math.abs(elapsedMs - this.#meanMs);
    this.#deviationMs += DEVIATION_WEIGHT * (deviation - this.#deviationMs);
    this.#meanMs += MEAN_WEIGHT * (elapsedMs - this.#meanMs);
  }

  /** Milliseconds after which a response is overdue; the maximum before any was recorded. */
  get limitMs(): number {
    if (this.#meanMs === undefined) return MAXIMUM_LIMIT_MS;
    const limitMs = this.#meanMs + DEVIATIONS * this.#deviationMs;
    return Math.min(MAXIMUM_LIMIT_MS, Math.max(MINIMUM_LIMIT_MS, limitMs));
  }
}
