import type { LogContext, Logger } from '@currantgap/telemetry';

/** Lines per second; callers decide how many requests there are. */
const MAXIMUM_LINES_PER_SECOND = 20;
const WINDOW_MS = 1_000;

/** Logs one kind of event that callers cause, a limited number per second. */
export class BoundedLog {
  readonly #logger: Logger;
  readonly #message: string;
  readonly #now: () => number;
  /** Monotonic time at which the current window ends, in milliseconds. */
  #windowEndsAt = -Infinity;
  #lines = 0;
  /** Lines left out since the last one. */
  #omitted = 0;

  /** `now` returns the monotonic time in milliseconds. */
  constructor(logger: Logger, message: string, now: () => number = () => performance.now()) {
    this.#logger = logger;
    this.#message = message;
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
    this.#logger.writeInfo(this.#message, { ...context, omitted: this.#omitted });
    this.#omitted = 0;
  }
}
