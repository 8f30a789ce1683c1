/** Ids kept; beyond these, the ones refused first are forgotten. */
const MAXIMUM_IDS = 10_000;
/** Milliseconds since the first refusal after which the patience no longer grows. */
const FULL_PATIENCE_MS = 10_000;
/** Largest part by which the thresholds of a returning caller are raised. */
const MAXIMUM_RAISE = 0.25;
/** Return after this many times the announced wait counts as a new attempt. */
const RETURN_WINDOW_FACTOR = 2;

/** A submission that was refused. Times are milliseconds on a monotonic clock. */
interface RefusedEntry {
  readonly firstRefusedAt: number;
  readonly expiresAt: number;
}

/** Remembers refused submissions, so that those refused longest come in first when room returns. */
export class ReturningCallers {
  readonly #entries = new Map<string, RefusedEntry>();

  /** Number of ids kept. */
  get size(): number {
    return this.#entries.size;
  }

  /** Computes the factor by which the thresholds of an attempt are raised. */
  computePatience(id: string, now: number): number {
    const entry = this.#find(id, now);
    if (entry === undefined) return 1;
    const age = Math.min(1, (now - entry.firstRefusedAt) / FULL_PATIENCE_MS);
    return 1 + MAXIMUM_RAISE * age;
  }

  /** Records a refusal with the wait that was announced. */
  record(id: string, retryAfterMs: number, now: number): void {
    const firstRefusedAt = this.#find(id, now)?.firstRefusedAt ?? now;
    this.#entries.delete(id);
    this.#entries.set(id, { firstRefusedAt, expiresAt: now + RETURN_WINDOW_FACTOR * retryAfterMs });
    const [oldest] = this.#entries.keys();
    if (this.#entries.size > MAXIMUM_IDS && oldest !== undefined) this.#entries.delete(oldest);
  }

  /** Forgets a submission that was accepted. */
  forget(id: string): void {
    this.#entries.delete(id);
  }

  #find(id: string, now: number): RefusedEntry | undefined {
    const entry = this.#entries.get(id);
    return entry === undefined || now > entry.expiresAt ? undefined : entry;
  }
}
