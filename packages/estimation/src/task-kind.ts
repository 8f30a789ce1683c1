import { AgedHistogram, type BoundReceipt } from './aged-histogram.ts';
import { Distribution } from './distribution.ts';
import { PRIOR } from './prior.ts';
import { POINT_COUNT } from './ratio-grid.ts';

/** Weight of observations at which they count as much as what is expected of the wider kind. */
const SHRINKAGE_WEIGHT = 4;
/** Part of the observed weight that must be new before the distribution is computed again. */
const REFRESH_PART = 0.1;
/** Probability of exceeding a lower bound above which the bound tells nothing. */
const UNINFORMATIVE_PROBABILITY = 0.9;
/** Quantile by which changes of the spread are measured. */
const SPREAD_PART = 0.95;
/** Weight of a change of the quantile relative to one of the mean. */
const SPREAD_CHANGE_WEIGHT = 0.5;

/** Least weight of observations for which a kind is stored. */
const MINIMUM_STORED_WEIGHT = 2;

/** What a lower bound has added, by kind. */
export type KindReceipts = readonly (readonly [TaskKind, BoundReceipt])[];

/**
 * Tasks that are expected to behave alike. The fewer were observed, the more their distribution is
 * that of the wider kind they belong to.
 */
export class TaskKind {
  readonly path: readonly string[];
  readonly histogram = new AgedHistogram();
  /** The next wider kind. */
  parent: TaskKind | undefined;
  /** Weight of what was recorded since the distribution was computed. */
  #newWeight = 0;
  #parentDistribution: Distribution | undefined;
  #distribution: Distribution = PRIOR;
  #stored: Distribution = PRIOR;

  constructor(path: readonly string[], parent?: TaskKind) {
    this.path = path;
    this.parent = parent;
  }

  /** Whether enough was observed for others to learn from it. */
  get isWorthStoring(): boolean {
    return this.histogram.total >= MINIMUM_STORED_WEIGHT;
  }

  /** Distribution expected of the next task. */
  get distribution(): Distribution {
    const parent = this.parent?.distribution ?? PRIOR;
    const { total, weights } = this.histogram;
    if (total === 0) return parent;
    const isCurrent = this.#newWeight <= REFRESH_PART * total;
    if (isCurrent && this.#parentDistribution === parent) return this.#distribution;
    this.#newWeight = 0;
    this.#parentDistribution = parent;
    const mixed = new Float64Array(POINT_COUNT);
    for (let point = 0; point < POINT_COUNT; point += 1) {
      mixed[point] = SHRINKAGE_WEIGHT * (parent.masses[point] ?? 0) + (weights[point] ?? 0);
    }
    this.#distribution = new Distribution(mixed);
    return this.#distribution;
  }

  /** Records a ratio for this kind and all wider ones. */
  record(ratio: number, weight: number): void {
    this.parent?.record(ratio, weight);
    this.histogram.add(ratio, weight);
    this.#newWeight += weight;
  }

  /** Records a lower bound of a ratio, unless nearly all tasks exceed it. */
  recordBound(ratio: number, weight: number): KindReceipts {
    const { distribution } = this;
    if (distribution.computeProbabilityAbove(ratio) > UNINFORMATIVE_PROBABILITY) return [];
    return this.#addBound(ratio, weight, distribution);
  }

  withdraw(receipt: BoundReceipt): void {
    this.histogram.withdraw(receipt);
    this.#newWeight += receipt.weight;
  }

  /** Adds what an earlier process learned. */
  load(first: number, weights: readonly number[]): void {
    this.histogram.load(first, weights);
    this.#newWeight += this.histogram.total;
  }

  /** Measures by how many octaves what is expected differs from what was stored last. */
  measureChange(): number {
    if (!this.isWorthStoring) return 0;
    const { distribution } = this;
    const mean = Math.abs(Math.log2(distribution.mean / this.#stored.mean));
    const spread = Math.abs(
      Math.log2(
        distribution.computeQuantile(SPREAD_PART) / this.#stored.computeQuantile(SPREAD_PART),
      ),
    );
    return Math.max(mean, SPREAD_CHANGE_WEIGHT * spread);
  }

  /** Takes what is expected now as stored. */
  acceptAsStored(): void {
    this.#stored = this.distribution;
  }

  #addBound(ratio: number, weight: number, expected: Distribution): KindReceipts {
    const wider = this.parent === undefined ? [] : this.parent.#addBound(ratio, weight, expected);
    const receipt = this.histogram.addBound(ratio, weight, expected);
    this.#newWeight += weight;
    return [...wider, [this, receipt]];
  }
}
