import { performance } from 'node:perf_hooks';
import type { Instant } from '@currantgap/model';

/** A scheduled callback that can be cancelled. */
export abstract class Timer {
  abstract stop(): void;
}

/** Source of monotonic time and timers; tests replace it with a virtual clock. */
export abstract class Clock {
  /** Current monotonic time in milliseconds. */
  abstract get now(): Instant;

  /** Schedules `callback` to run once at `deadline`. */
  abstract schedule(deadline: Instant, callback: () => void): Timer;

  /** Resolves at `deadline`. */
  async wait(deadline: Instant): Promise<void> {
    await new Promise<void>((resolve) => {
      this.schedule(deadline, resolve);
    });
  }
}

/** The monotonic clock of this process. */
export class SystemClock extends Clock {
  get now(): Instant {
    return performance.now();
  }

  schedule(deadline: Instant, callback: () => void): Timer {
    return new SystemTimer(setTimeout(callback, Math.max(0, deadline - this.now)));
  }
}

class SystemTimer extends Timer {
  readonly #handle: NodeJS.Timeout;

  constructor(handle: NodeJS.Timeout) {
    super();
    this.#handle = handle;
  }

  stop(): void {
    clearTimeout(this.#handle);
  }
}
