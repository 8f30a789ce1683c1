import type { Instant } from '@currantgap/model';
import type { Clock } from '@currantgap/tasks';

/** Options of a circuit breaker. */
export interface CircuitBreakerOptions {
  readonly clock: Clock;
  /** Consecutive failures that open the breaker. @default 5 */
  readonly threshold?: number;
  /** Milliseconds between opening and the first probe, and between probes. @default 500 */
  readonly openMs?: number;
}

const DEFAULT_THRESHOLD = 5;
const DEFAULT_OPEN_MS = 500;

/** Blocks calls to a service that keeps failing, except for one probe per `openMs`. */
export class CircuitBreaker {
  readonly #clock: Clock;
  readonly #threshold: number;
  readonly #openMs: number;
  #consecutiveFailures = 0;
  #nextProbeAt: Instant = 0;

  constructor(options: CircuitBreakerOptions) {
    this.#clock = options.clock;
    this.#threshold = options.threshold ?? DEFAULT_THRESHOLD;
    this.#openMs = options.openMs ?? DEFAULT_OPEN_MS;
  }

  /**
   * Whether a call may be made now. While the breaker is open, a true result reserves the due probe
   * for the caller.
   */
  canCall(): boolean {
    if (this.#consecutiveFailures < this.#threshold) return true;
    if (this.#clock.now < this.#nextProbeAt) return false;
    this.#nextProbeAt = this.#clock.now + this.#openMs;
    return true;
  }

  /** Records the outcome of a call. A success closes the breaker. */
  recordOutcome(hasSucceeded: boolean): void {
    if (hasSucceeded) {
      this.#consecutiveFailures = 0;
      return;
    }
    this.#consecutiveFailures += 1;
    if (this.#consecutiveFailures === this.#threshold)
      this.#nextProbeAt = this.#clock.now + this.#openMs;
  }
}
