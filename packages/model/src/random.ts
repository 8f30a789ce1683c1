import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';

/** Seeded source of random numbers. */
export class Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Takes a whole number from 0 to `bound - 1`. */
  takeBelow(bound: number): number {
    return uniformInt(this.#generator, 0, bound - 1);
  }

  /** Takes a number from 0 to 1, 1 excluded, in steps of 2^-30. */
  takeFraction(): number {
    return this.takeBelow(FRACTION_STEPS) / FRACTION_STEPS;
  }
}

const FRACTION_STEPS = 2 ** 30;
