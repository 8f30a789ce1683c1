import type { Distribution } from './distribution.ts';
import { computePosition, POINT_COUNT } from './ratio-grid.ts';

/** Weight of observations after which an earlier observation counts half. */
const HALF_LIFE = 24;

/** An observation that can be withdrawn when more is known of the same run. */
export interface BoundReceipt {
  readonly ratio: number;
  readonly weight: number;
  /** Weight that the histogram had received in total. */
  readonly receivedWeight: number;
}

/** Histogram of ratios in which each observation counts less the more have followed it. */
export class AgedHistogram {
  readonly #weights = new Float64Array(POINT_COUNT);
  #total = 0;
  #receivedWeight = 0;

  /** Weight of all observations that still count. */
  get total(): number {
    return this.#total;
  }

  get weights(): Float64Array {
    return this.#weights;
  }

  /** Adds a ratio, shared between the two nearest points so that the mean is kept. */
  add(ratio: number, weight: number): void {
    this.#forget(weight);
    const position = computePosition(ratio);
    const point = Math.floor(position);
    this.#addAt(point, weight * (point + 1 - position));
    this.#addAt(point + 1, weight * (position - point));
  }

  /** Adds a run of which only a lower bound is known, where `expected` places such runs. */
  addBound(ratio: number, weight: number, expected: Distribution): BoundReceipt {
    this.#forget(weight);
    for (const [point, mass] of expected.listMassesAbove(ratio).entries()) {
      this.#addAt(point, weight * mass);
    }
    return { ratio, weight, receivedWeight: this.#receivedWeight };
  }

  /** Withdraws an observation that was added as a lower bound. */
  withdraw({ ratio, weight, receivedWeight }: BoundReceipt): void {
    const remaining = weight * 0.5 ** ((this.#receivedWeight - receivedWeight) / HALF_LIFE);
    const from = Math.floor(computePosition(ratio));
    const above = this.#weights.subarray(from);
    const total = above.reduce((sum, value) => sum + value, 0);
    if (total <= 0) return;
    const factor = Math.max(0, 1 - remaining / total);
    for (const [offset, value] of above.entries()) above[offset] = value * factor;
    this.#total -= total * (1 - factor);
  }

  /** Adds stored weights, which start at point `first`. */
  load(first: number, weights: readonly number[]): void {
    for (const [offset, weight] of weights.entries()) this.#addAt(first + offset, weight);
  }

  #forget(weight: number): void {
    const factor = 0.5 ** (weight / HALF_LIFE);
    for (let point = 0; point < POINT_COUNT; point += 1) {
      this.#weights[point] = (this.#weights[point] ?? 0) * factor;
    }
    this.#total *= factor;
    this.#receivedWeight += weight;
  }

  #addAt(point: number, weight: number): void {
    if (weight <= 0 || point >= POINT_COUNT) return;
    this.#weights[point] = (this.#weights[point] ?? 0) + weight;
    this.#total += weight;
  }
}
