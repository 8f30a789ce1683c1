import type { Instant } from '@currantgap/model';
import type { Clock } from '@currantgap/tasks';

/** Options of a token bucket. */
export interface TokenBucketOptions {
  readonly clock: Clock;
  /** Tokens added per second. */
  readonly perSecond: number;
  /** Capacity of the bucket in tokens: the largest burst after an idle period. */
  readonly burst: number;
}

const MS_PER_SECOND = 1_000;

/** Limits the rate of the writes that an entry sends to the table service. */
export class TokenBucket {
  readonly #options: TokenBucketOptions;
  #tokens: number;
  #refilledAt: Instant;

  constructor(options: TokenBucketOptions) {
    this.#options = options;
    this.#tokens = options.burst;
    this.#refilledAt = options.clock.now;
  }

  /** Takes one token. Returns false when none is left. */
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
