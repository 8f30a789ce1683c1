import { performance } from 'node:perf_hooks';
import type { Instant } from '@currantgap/model';

/** A scheduled callback that can be cancelled. */
export abstract class Timer {
  abstract stop(): void;
}

/** Source of monotonic time and of timers, so that tests can run on virtual time. */
export abstract class Clock {
  /** Gets the present instant in milliseconds. */
  abstract get now(): Instant;

  /** Runs `callback` once, when `deadline` is reached. */
  abstract schedule(deadline: Instant, callback: () => void): Timer;

  /** Resolves when `deadline` is reached. */
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
