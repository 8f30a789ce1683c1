/** Milliseconds after which a reading is replaced by a later one, since the two clocks may drift apart. */
const WINDOW_MS = 10_000;

/**
 * Relates the steady clock of another process to the monotonic clock of this one. Of the readings that
 * messages carry, the least delayed one counts; a message that was long on its way therefore shows
 * when it was sent.
 */
export class RemoteClock {
  /** Largest difference of a reading and its arrival in the current window, in milliseconds. */
  #offsetMs = -Infinity;
  /** The same for the window before. */
  #previousOffsetMs = -Infinity;
  /** Monotonic time at which the current window ends, in milliseconds. */
  #windowEndsAt = -Infinity;

  /** Records a reading of the other clock and the monotonic time at which it arrived. */
  record(remoteMs: number, arrivedAt: number): void {
    if (arrivedAt >= this.#windowEndsAt) {
      this.#windowEndsAt = arrivedAt + WINDOW_MS;
      this.#previousOffsetMs = this.#offsetMs;
      this.#offsetMs = -Infinity;
    }
    this.#offsetMs = Math.max(this.#offsetMs, remoteMs - arrivedAt);
  }

  /**
   * Computes the monotonic time of this process, in milliseconds, at which the other clock showed a
   * reading that was recorded; at the latest, the time at which it arrived.
   */
  computeLocalTime(remoteMs: number): number {
    return remoteMs - Math.max(this.#offsetMs, this.#previousOffsetMs);
  }

  /**
   * Computes the reading that the other clock has reached at least at a monotonic time of this process, in
   * milliseconds; -Infinity before the first reading.
   */
  computeRemoteTime(localMs: number): number {
    return localMs + Math.max(this.#offsetMs, this.#previousOffsetMs);
  }
}
