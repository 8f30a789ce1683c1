/**
 * Milliseconds by which a version must have been seen before a request arrived. A request that was
 * sent earlier and read late, since this process stood still, does not count as later than the version.
 */
const MARGIN_MS = 800;

/** Version of the store, with the monotonic time in milliseconds at which it was seen. */
interface SeenVersion {
  readonly version: number;
  readonly at: number;
}

/** Remembers which version of the store this node had seen at which time. */
export class SeenVersions {
  /** Latest version, and the steps before it, in order of time. */
  #seen: SeenVersion[] = [];

  /** Records a version that the store has answered with. */
  record(version: number, now: number): void {
    const last = this.#seen.at(-1);
    if (last !== undefined && version <= last.version) return;
    const firstNeeded = this.#seen.findLastIndex(({ at }) => at <= now - MARGIN_MS);
    this.#seen = this.#seen.slice(Math.max(0, firstNeeded));
    const previous = this.#seen.at(-2);
    // A version that was seen shortly after the one before it replaces the latest one.
    if (previous !== undefined && last !== undefined && last.at < previous.at + MARGIN_MS / 8)
      this.#seen.pop();
    this.#seen.push({ version, at: now });
  }

  /** Finds the highest version seen well before a request arrived; 0 if none was. */
  findBefore(arrivedAt: number): number {
    return this.#seen.findLast(({ at }) => at <= arrivedAt - MARGIN_MS)?.version ?? 0;
  }
}
