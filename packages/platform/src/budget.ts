import type { Instant } from '@currantgap/model';
import type { Clock } from '@currantgap/tasks';

/** Options of a rate budget. */
export interface BudgetOptions {
  readonly clock: Clock;
  readonly perSecond: number;
  /** Largest number taken at once after a quiet time. */
  readonly burst: number;
}

const MS_PER_SECOND = 1_000;

/** A token bucket that bounds how many writes an entry sends to the table service. */
export class RateBudget {
  readonly #options: BudgetOptions;
  #tokens: number;
  #refilledAt: Instant;

  constructor(options: BudgetOptions) {
    this.#options = options;
    this.#tokens = options.burst;
    this.#refilledAt = options.clock.now;
  }

  /** Takes one token; false when none is left. */
  take(): boolean {
    const { clock, perSecond, burst } = this.#options;
    const elapsedMs = clock.now - this.#refilledAt;
    this.#refilledAt = clock.now;
    this.#tokens = Math.min(burst, this.#tokens + (elapsedMs * perSecond) / MS_PER_SECOND);
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
