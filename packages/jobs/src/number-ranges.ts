/** A set of whole numbers that takes memory by its gaps, not by its numbers. */
export class NumberRanges {
  /** First and last number of each range, in ascending order and with gaps between them. */
  readonly #ranges: [number, number][] = [];
  #size = 0;

  /** Number of the numbers in the set. */
  get size(): number {
    return this.#size;
  }

  has(number: number): boolean {
    const range = this.#ranges[this.#findPosition(number)];
    return range !== undefined && range[0] <= number;
  }

  add(number: number): void {
    const position = this.#findPosition(number);
    const next = this.#ranges[position];
    if (next !== undefined && next[0] <= number) return;
    this.#size += 1;
    const previous = this.#ranges[position - 1];
    const touchesPrevious = previous?.[1] === number - 1;
    const touchesNext = next?.[0] === number + 1;
    if (touchesPrevious && touchesNext) {
      previous[1] = next[1];
      this.#ranges.splice(position, 1);
    } else if (touchesPrevious) previous[1] = number;
    else if (touchesNext) next[0] = number;
    else this.#ranges.splice(position, 0, [number, number]);
  }

  /** Encodes the set: a number by itself, a longer range as its first and last number. */
  encode(): readonly (number | readonly [number, number])[] {
    return this.#ranges.map(([first, last]) => (first === last ? first : [first, last]));
  }

  /** Adds the numbers of an encoded set. */
  addEncoded(entries: readonly (number | readonly [number, number])[]): void {
    for (const entry of entries) {
      const [first, last] = typeof entry === 'number' ? [entry, entry] : entry;
      for (let number = first; number <= last; number += 1) this.add(number);
    }
  }

  /** Finds the position of the first range that does not end before a number. */
  #findPosition(number: number): number {
    let low = 0;
    let high = this.#ranges.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if ((this.#ranges[middle]?.[1] ?? 0) < number) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
