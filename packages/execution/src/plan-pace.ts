/** Shortest time in milliseconds for which events are batched into one planning run. */
const MINIMUM_BATCH_MS = 4;
/** Longest such time; short compared with what the most urgent callers can wait for. */
const MAXIMUM_BATCH_MS = 60;
/** Time between two planning runs, as a multiple of what one takes: a fifth goes to planning. */
const REST_FACTOR = 4;

/**
 * Decides for how long events are batched into one planning run.
 *
 * Answers a queue so long that planning it takes milliseconds: planned anew after each event, it would
 * leave the owner no time to send orders and to read reports, and the queue would grow.
 */
export class PlanPace {
  #planMs = 0;

  /** Records the milliseconds that a planning run took. */
  record(planMs: number): void {
    this.#planMs = planMs;
  }

  /** Milliseconds from an event to the planning run that considers it. */
  get batchMs(): number {
    return Math.min(MAXIMUM_BATCH_MS, Math.max(MINIMUM_BATCH_MS, REST_FACTOR * this.#planMs));
  }
}
