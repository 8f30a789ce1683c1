import type { Clock, Timer } from './clock.ts';

/** Options of a periodic job. */
export interface PeriodicOptions {
  readonly clock: Clock;
  /** Milliseconds from the end of one run to the start of the next. */
  readonly periodMs: number;
  readonly run: () => Promise<void>;
}

/** Runs a job again and again, never two runs at once. */
export class Periodic {
  readonly #options: PeriodicOptions;
  #timer: Timer | undefined;
  #isStopped = false;

  constructor(options: PeriodicOptions) {
    this.#options = options;
  }

  /** Runs the job now and then after every period. */
  start(): void {
    void this.#run();
  }

  /** Schedules no further run; one under way ends by itself. */
  stop(): void {
    this.#isStopped = true;
    this.#timer?.stop();
  }

  async #run(): Promise<void> {
    if (this.#isStopped) return;
    try {
      await this.#options.run();
    } finally {
      this.#schedule();
    }
  }

  #schedule(): void {
    if (this.#isStopped) return;
    const deadline = this.#options.clock.now + this.#options.periodMs;
    this.#timer = this.#options.clock.schedule(deadline, () => void this.#run());
  }
}
