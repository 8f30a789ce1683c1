/** A wait between two polls of the lease that news from elsewhere end early. */
export class WatchPause {
  /** Whether the next wait is skipped: the news came while a poll was in flight. */
  #isEnded = false;
  #finish: (() => void) | undefined;

  /** Waits until a monotonic time in milliseconds or, if that is earlier, until `end` is called. */
  async waitUntil(deadline: number): Promise<void> {
    const waitMs = deadline - performance.now();
    if (waitMs <= 0 || this.#isEnded) {
      this.#isEnded = false;
      return;
    }
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      this.#finish = (): void => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.#finish = undefined;
  }

  /** Ends the wait, or the next one if there is none now. */
  end(): void {
    if (this.#finish === undefined) this.#isEnded = true;
    else this.#finish();
  }
}
