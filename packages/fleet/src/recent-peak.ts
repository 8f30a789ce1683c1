/** The highest of the values that were recorded within a sliding window. */
export class RecentPeak {
  readonly #windowMs: number;
  /** Values of falling height, the highest first. */
  #samples: { readonly at: number; readonly value: number }[] = [];

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Records a value and returns the highest one of the window that ends now. */
  record(at: number, value: number): number {
    this.#samples = this.#samples.filter(
      (sample) => sample.at > at - this.#windowMs && sample.value > value,
    );
    this.#samples.push({ at, value });
    return this.#samples[0]?.value ?? value;
  }
}
