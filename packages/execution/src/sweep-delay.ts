/** Milliseconds by which a sweep may be late before the owner counts as busy. */
const MAXIMUM_DELAY_MS = 50;
/** Milliseconds for which the owner counts as busy after a late sweep. */
const BUSY_MS = 1_000;

/**
 * Tells from late sweeps whether the owner is too busy to judge others by the time that their answers
 * take: an answer that has arrived and was not read yet looks like one that is overdue.
 */
export class SweepDelay {
  #dueAt = Infinity;
  #busyUntil = -Infinity;

  /** Records that a sweep begins; the next one is due after `periodMs`. */
  recordSweep(now: number, periodMs: number): void {
    if (now > this.#dueAt + MAXIMUM_DELAY_MS) this.#busyUntil = now + BUSY_MS;
    this.#dueAt = now + periodMs;
  }

  /** Whether the last sweeps were late, or the next one is. */
  isBusy(now: number): boolean {
    return now < this.#busyUntil || now > this.#dueAt + MAXIMUM_DELAY_MS;
  }
}
