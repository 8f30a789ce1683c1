import type { Clock, Timer } from './clock.ts';

/** Options of a periodic runner. */
export interface PeriodicRunnerOptions {
  readonly clock: Clock;
  /** Milliseconds from the end of one run to the start of the next. */
  readonly periodMs: number;
  readonly run: () => Promise<void>;
}

/** Runs an asynchronous function periodically; runs never overlap. */
export class PeriodicRunner {
  readonly #options: PeriodicRunnerOptions;
  #timer: Timer | undefined;
  #isStopped = false;

  constructor(options: PeriodicRunnerOptions) {
    this.#options = options;
  }

  /** Starts the first run immediately; each further run starts one period after the last ended. */
  start(): void {
    void this.#run();
  }

  /** Schedules no further runs; a run in progress is not interrupted. */
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
