import type { LogContext, Logger } from '@currantgap/telemetry';

/** Lines per second; callers with a wrong key or path decide how many requests are refused. */
const MAXIMUM_LINES_PER_SECOND = 20;
const WINDOW_MS = 1_000;

/** Logs requests that were refused by the configuration, a limited number per second. */
export class RefusalLog {
  readonly #logger: Logger;
  readonly #now: () => number;
  /** Monotonic time at which the current window ends, in milliseconds. */
  #windowEndsAt = -Infinity;
  #lines = 0;
  /** Lines left out since the last one. */
  #omitted = 0;

  /** `now` returns the monotonic time in milliseconds. */
  constructor(logger: Logger, now: () => number = () => performance.now()) {
    this.#logger = logger;
    this.#now = now;
  }

  /** Writes a line, or counts it among those left out. */
  write(context: LogContext): void {
    const now = this.#now();
    if (now >= this.#windowEndsAt) {
      this.#windowEndsAt = now + WINDOW_MS;
      this.#lines = 0;
    }
    if (this.#lines === MAXIMUM_LINES_PER_SECOND) {
      this.#omitted += 1;
      return;
    }
    this.#lines += 1;
    this.#logger.writeInfo('request not routed', { ...context, omitted: this.#omitted });
    this.#omitted = 0;
  }
}
