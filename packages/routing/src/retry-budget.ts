import { MAXIMUM_SAVED_RETRIES, RETRY_PART } from './defaults.ts';

/** Bounds the retries of a service to a part of its first sends. */
export class RetryBudget {
  #saved = 0;

  /** Records the first send of a request. */
  recordFirstSend(): void {
    this.#saved = Math.min(MAXIMUM_SAVED_RETRIES, this.#saved + RETRY_PART);
  }

  /** Takes the right to one retry; false when the budget is spent. */
  take(): boolean {
    if (this.#saved < 1) return false;
    this.#saved -= 1;
    return true;
  }
}
