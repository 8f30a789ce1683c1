import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';

/** Seeded pseudo-random number generator. */
export class Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Draws an integer from 0 (inclusive) to `bound` (exclusive). */
  drawInteger(bound: number): number {
    return uniformInt(this.#generator, 0, bound - 1);
  }

  /** Draws a number from 0 (inclusive) to 1 (exclusive), a multiple of 2^-30. */
  drawFraction(): number {
    return this.drawInteger(FRACTION_STEPS) / FRACTION_STEPS;
  }
}

const FRACTION_STEPS = 2 ** 30;
