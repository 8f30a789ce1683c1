import { computePosition, computeRatio, POINT_COUNT, POINT_RATIOS } from './ratio-grid.ts';

/** Part of a distribution above which ratios count as its quantile, so that a tail drags no mean. */
const ROBUST_PART = 0.9;
/** Smallest probability for which the distribution beyond a ratio is meaningful. */
const MINIMUM_PROBABILITY = 1e-9;
/** Precision of the mean, so that the one expected before any run is exactly 1. */
const MEAN_PRECISION = 2 ** -30;
/** Growth of a ratio that exceeds all known ones, as part of itself. */
const BEYOND_GROWTH = 0.5;
/** Standard normal quantile of the upper quartile. */
const QUARTILE_DEVIATION = 0.6745;
/** Multiple of the spread of the body, judged by its quartiles, beyond which a ratio is in the tail. */
const TAIL_SPREAD = 1.5;
/** Multiple of the probability beyond a quantile that the tail must hold to reach below it. */
const TAIL_EVIDENCE = 2;
/** Upper bound of the quantiles that are kept of a distribution. */
const MAXIMUM_KNOWN_QUANTILES = 8;
/** Narrowest spread of a body, octaves of the ratio. */
const MINIMUM_SPREAD_OCTAVES = 0.25;

/** Distribution of the ratio of actual to declared durations. The mass of each point lies around it. */
export class Distribution {
  /** Probability of each point of the grid. */
  readonly masses: Float64Array;
  /** Probability below the lower edge of each point's cell. */
  readonly #below = new Float64Array(POINT_COUNT + 1);
  /** Sum of probability times ratio below the lower edge of each point's cell. */
  readonly #sumBelow = new Float64Array(POINT_COUNT + 1);
  #mean: number | undefined;
  /** Quantiles that were asked for, by part. */
  #quantiles: Map<number, number> | undefined;

  /** `weights` are scaled to the sum 1. */
  constructor(weights: Float64Array) {
    let total = 0;
    for (const weight of weights) total += weight;
    this.masses = new Float64Array(POINT_COUNT);
    let below = 0;
    let sumBelow = 0;
    for (let point = 0; point < POINT_COUNT; point += 1) {
      const mass = (weights[point] ?? 0) / total;
      this.masses[point] = mass;
      below += mass;
      sumBelow += mass * (POINT_RATIOS[point] ?? 0);
      this.#below[point + 1] = below;
      this.#sumBelow[point + 1] = sumBelow;
    }
  }

  /** Mean ratio, not dragged by the tail. */
  get mean(): number {
    this.#mean ??= Math.round(this.#computeMeanFrom(0, 1) / MEAN_PRECISION) * MEAN_PRECISION;
    return this.#mean;
  }

  /**
   * Computes the ratio that `part` of the tasks do not exceed. A tail that holds little more than the
   * rest does not reach below the quantile by chance: then the body's own width bounds it.
   */
  computeQuantile(part: number): number {
    const known = this.#quantiles?.get(part);
    if (known !== undefined) return known;
    const quantile = this.#computeBoundedQuantile(part);
    this.#quantiles ??= new Map();
    if (this.#quantiles.size < MAXIMUM_KNOWN_QUANTILES) this.#quantiles.set(part, quantile);
    return quantile;
  }

  #computeBoundedQuantile(part: number): number {
    const ratio = this.#computeRatioAt(part);
    const median = this.#computeRatioAt(0.5);
    if (ratio <= median) return ratio;
    const spread = Math.max(
      MINIMUM_SPREAD_OCTAVES,
      Math.log2(this.#computeRatioAt(0.75) / this.#computeRatioAt(0.25)) / (2 * QUARTILE_DEVIATION),
    );
    const bound = median * 2 ** (TAIL_SPREAD * computeNormalQuantile(part) * spread);
    if (ratio <= bound) return ratio;
    return this.computeProbabilityAbove(bound) > TAIL_EVIDENCE * (1 - part) ? ratio : bound;
  }

  /** Computes the probability that the ratio exceeds `ratio`. */
  computeProbabilityAbove(ratio: number): number {
    return ratio > 0 ? 1 - this.#computeSum(this.#below, getEdge(ratio)) : 1;
  }

  /** Computes the mean ratio, not dragged by the tail, of tasks whose ratio exceeds `ratio`. */
  computeMeanAbove(ratio: number): number {
    if (ratio <= 0) return this.mean;
    const probability = this.computeProbabilityAbove(ratio);
    if (probability < MINIMUM_PROBABILITY) return ratio * (1 + BEYOND_GROWTH);
    return Math.max(ratio, this.#computeMeanFrom(getEdge(ratio), probability));
  }

  /** Lists the probability of each point, given that the ratio exceeds `ratio`. */
  listMassesAbove(ratio: number): Float64Array {
    const edge = getEdge(ratio);
    const above = this.masses.map(
      (mass, point) => mass * Math.min(1, Math.max(0, point + 1 - edge)),
    );
    const total = above.reduce((sum, mass) => sum + mass, 0);
    if (total >= MINIMUM_PROBABILITY) return above.map((mass) => mass / total);
    above.fill(0);
    above[Math.round(computePosition(ratio * (1 + BEYOND_GROWTH)))] = 1;
    return above;
  }

  /** Computes the mean above an edge beyond which `probability` lies. */
  #computeMeanFrom(edge: number, probability: number): number {
    const outer = (1 - ROBUST_PART) * probability;
    const cap = this.#findEdge(1 - outer);
    const inner = this.#computeSum(this.#sumBelow, cap) - this.#computeSum(this.#sumBelow, edge);
    return (inner + outer * computeRatio(cap - 0.5)) / probability;
  }

  #computeRatioAt(part: number): number {
    return computeRatio(this.#findEdge(part) - 0.5);
  }

  /** Finds the edge below which the probability is `part`. */
  #findEdge(part: number): number {
    let low = 0;
    let high = POINT_COUNT;
    while (high - low > 1) {
      const middle = (low + high) >> 1;
      if ((this.#below[middle] ?? 0) < part) low = middle;
      else high = middle;
    }
    const mass = this.masses[low] ?? 0;
    if (mass <= 0) return low;
    return low + Math.min(1, Math.max(0, (part - (this.#below[low] ?? 0)) / mass));
  }

  #computeSum(sums: Float64Array, edge: number): number {
    const point = Math.min(POINT_COUNT - 1, Math.floor(edge));
    const from = sums[point] ?? 0;
    return from + (edge - point) * ((sums[point + 1] ?? from) - from);
  }
}

/** Computes the edge at a ratio: edge n is halfway between the points n - 1 and n. */
function getEdge(ratio: number): number {
  return computePosition(ratio) + 0.5;
}

/** Computes the standard normal quantile of a part over one half, after Hastings. */
function computeNormalQuantile(part: number): number {
  const root = Math.sqrt(-2 * Math.log(Math.max(1 - part, MINIMUM_PROBABILITY)));
  const numerator = 2.515517 + root * (0.802853 + root * 0.010328);
  const denominator = 1 + root * (1.432788 + root * (0.189269 + root * 0.001308));
  return root - numerator / denominator;
}
