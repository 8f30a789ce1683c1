import type { Instant } from '@currantgap/model';
import { Clock, Timer } from './clock.ts';

/** A clock for tests; its time changes only through `advanceTo`. */
export class VirtualClock extends Clock {
  #now: Instant = 0;
  #timers: VirtualTimer[] = [];

  get now(): Instant {
    return this.#now;
  }

  schedule(deadline: Instant, callback: () => void): Timer {
    const timer = new VirtualTimer(deadline, callback);
    this.#timers.push(timer);
    return timer;
  }

  /** Advances the time to `instant` and runs all due timers in order of their deadlines. */
  advanceTo(instant: Instant): void {
    for (let next = this.#takeDue(instant); next !== undefined; next = this.#takeDue(instant)) {
      this.#now = Math.max(this.#now, next.deadline);
      next.run();
    }
    this.#now = instant;
  }

  #takeDue(instant: Instant): VirtualTimer | undefined {
    this.#timers = this.#timers.filter((timer) => !timer.isStopped);
    this.#timers.sort((left, right) => left.deadline - right.deadline);
    const first = this.#timers[0];
    if (first === undefined || first.deadline > instant) return undefined;
    return this.#timers.shift();
  }
}

class VirtualTimer extends Timer {
  readonly deadline: Instant;
  readonly #callback: () => void;
  #isStopped = false;

  constructor(deadline: Instant, callback: () => void) {
    super();
    this.deadline = deadline;
    this.#callback = callback;
  }

  get isStopped(): boolean {
    return this.#isStopped;
  }

  run(): void {
    this.#callback();
  }

  stop(): void {
    this.#isStopped = true;
  }
}
