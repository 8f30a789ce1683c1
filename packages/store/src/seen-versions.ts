/** Milliseconds for which the history is kept. */
const HISTORY_MS = 2_000;
/** Least milliseconds between two entries of the history, but for the latest one. */
const RESOLUTION_MS = 100;

/** Version of the store, with the monotonic time in milliseconds at which it was seen. */
interface SeenVersion {
  readonly version: number;
  readonly at: number;
}

/** Remembers which version of the store this process had seen at which time. */
export class SeenVersions {
  /** Latest version, and the steps before it, in order of time. */
  #seen: SeenVersion[] = [];

  /** Records a version that the store has answered with. */
  record(version: number, now: number): void {
    const last = this.#seen.at(-1);
    if (last !== undefined && version <= last.version) return;
    const firstNeeded = this.#seen.findLastIndex(({ at }) => at <= now - HISTORY_MS);
    this.#seen = this.#seen.slice(Math.max(0, firstNeeded));
    const previous = this.#seen.at(-2);
    // A version that was seen shortly after the one before it replaces the latest one.
    if (previous !== undefined && last !== undefined && last.at < previous.at + RESOLUTION_MS)
      this.#seen.pop();
    this.#seen.push({ version, at: now });
  }

  /** Finds the highest version seen by a time of the last two seconds; 0 if none was. */
  findAt(time: number): number {
    return this.#seen.findLast(({ at }) => at <= time)?.version ?? 0;
  }
}
