import { MAXIMUM_RETRY_TOKENS, RETRY_RATIO } from './defaults.ts';

/** Token bucket that limits the retries of a service to a fraction of its first sends. */
export class RetryBudget {
  #tokens = 0;

  /** Records the first send of a request, which earns a fraction of a retry token. */
  recordFirstSend(): void {
    this.#tokens = Math.min(MAXIMUM_RETRY_TOKENS, this.#tokens + RETRY_RATIO);
  }

  /** Takes one retry token. Returns false when the budget is exhausted. */
  take(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
