import type { Instant } from '@currantgap/model';
import type { Clock } from '@currantgap/tasks';

/** Options of a circuit breaker. */
export interface BreakerOptions {
  readonly clock: Clock;
  /** Failures in a row that open the breaker. @default 5 */
  readonly threshold?: number;
  /** Milliseconds from opening to the next probe. @default 500 */
  readonly openMs?: number;
}

const DEFAULT_THRESHOLD = 5;
const DEFAULT_OPEN_MS = 500;

/** Stops calls to a service that keeps failing and lets one probe through at a time. */
export class CircuitBreaker {
  readonly #clock: Clock;
  readonly #threshold: number;
  readonly #openMs: number;
  #failures = 0;
  #probeAt: Instant = 0;

  constructor(options: BreakerOptions) {
    this.#clock = options.clock;
    this.#threshold = options.threshold ?? DEFAULT_THRESHOLD;
    this.#openMs = options.openMs ?? DEFAULT_OPEN_MS;
  }

  /** Whether a call may be made now; while open, claims the next probe for the caller. */
  canCall(): boolean {
    if (this.#failures < this.#threshold) return true;
    if (this.#clock.now < this.#probeAt) return false;
    this.#probeAt = this.#clock.now + this.#openMs;
    return true;
  }

  /** Records the end of a call. */
  record(hasSucceeded: boolean): void {
    if (hasSucceeded) {
      this.#failures = 0;
      return;
    }
    this.#failures += 1;
    if (this.#failures === this.#threshold) this.#probeAt = this.#clock.now + this.#openMs;
  }
}
