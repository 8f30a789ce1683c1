import type { Step } from '@currantgap/model';
import type { StoredKind } from './duration-codec.ts';
import type { Distribution } from './distribution.ts';
import { PRIOR } from './prior.ts';
import { RouteKinds } from './route-kinds.ts';
import { TaskKind, type KindReceipts } from './task-kind.ts';

/** Assumed duration in milliseconds of a task for which the client gave no estimate. */
const DEFAULT_TASK_MS = 1_000;
/** Upper bound of the routes whose durations are learned. */
const MAXIMUM_ROUTES = 256;
/** Upper bound of the kinds in one log line. */
const MAXIMUM_DESCRIBED_KINDS = 4;
/** Quantile in the log. */
const DESCRIBED_PART = 0.95;

/** A lower bound that was recorded for a run, to be replaced when more is known of the run. */
export interface RecordedBound {
  readonly receipts: KindReceipts;
}

/** Options of a recorded duration. */
export interface RecordOptions {
  /** Lower bound that was recorded for the same run and is replaced. */
  readonly replaces?: RecordedBound | undefined;
}

/** The kinds of a step's tasks. */
interface StepEntry {
  readonly route: string;
  readonly kinds: RouteKinds;
  /** Revision of the route's kinds when the parent was found. */
  readonly revision: number;
  /** Narrowest kind to which tasks of other steps belong, too. */
  readonly parent: TaskKind | undefined;
  /** Kind of only this step's tasks, once one of several was observed. */
  readonly own: TaskKind | undefined;
}

/**
 * Learns the durations of tasks from finished runs, as distributions of the ratio of the actual
 * duration to the client's estimate, by route, image, shape of the step and step.
 */
export class DurationModel {
  readonly #routes = new Map<string, RouteKinds>();
  readonly #steps = new WeakMap<Step, StepEntry>();

  /** Names of the routes whose durations were observed. */
  get routes(): Iterable<string> {
    return this.#routes.keys();
  }

  /** Estimates the mean duration in milliseconds of a task on a healthy target near its data. */
  estimateTaskMs(route: string, step: Step): number {
    return getDeclaredMs(step) * this.#getDistribution(route, step).mean;
  }

  /** Estimates the duration in milliseconds that this part (0 to 1) of the tasks does not exceed. */
  estimateQuantileMs(route: string, step: Step, part: number): number {
    return getDeclaredMs(step) * this.#getDistribution(route, step).computeQuantile(part);
  }

  /** Estimates how many more milliseconds a task takes that has run for `elapsedMs`. */
  estimateRemainingMs(route: string, step: Step, elapsedMs: number): number {
    const declaredMs = getDeclaredMs(step);
    if (step.isPersistent) return Math.max(0, declaredMs - elapsedMs);
    const distribution = this.#getDistribution(route, step);
    const passedMs = Math.max(0, elapsedMs);
    return declaredMs * distribution.computeMeanAbove(passedMs / declaredMs) - passedMs;
  }

  /** Records the duration of a task that succeeded. */
  record(route: string, step: Step, elapsedMs: number, { replaces }: RecordOptions = {}): void {
    withdraw(replaces);
    if (!(elapsedMs > 0) || step.isPersistent) return;
    const kind = this.#getKind(route, step);
    kind.record(elapsedMs / getDeclaredMs(step), computeWeight(step));
  }

  /** Records that a task takes at least this long: its run was stopped, or is still active. */
  recordCensored(
    route: string,
    step: Step,
    elapsedMs: number,
    { replaces }: RecordOptions = {},
  ): RecordedBound {
    withdraw(replaces);
    if (!(elapsedMs > 0) || step.isPersistent) return { receipts: [] };
    const kind = this.#getKind(route, step);
    return { receipts: kind.recordBound(elapsedMs / getDeclaredMs(step), computeWeight(step)) };
  }

  /** Lists the kinds of a route of which runs were observed; undefined if there are none. */
  listKinds(route: string): TaskKind[] | undefined {
    const kinds = [...(this.#routes.get(route)?.kinds ?? [])];
    const observed = kinds.filter(({ histogram }) => histogram.total > 0);
    return observed.length > 0 ? observed : undefined;
  }

  /** Adds what an earlier process learned and stored of a route. */
  load(route: string, stored: readonly StoredKind[]): void {
    const kinds = this.#getRoute(route);
    for (const { path, first, weights } of stored) kinds.getByPath(path).load(first, weights);
    this.acceptAsStored(route);
  }

  /** Measures by how many octaves the expectations of a route differ from what was stored last. */
  measureChange(route: string): number {
    const kinds = this.listKinds(route) ?? [];
    return Math.max(0, ...kinds.map((kind) => kind.measureChange()));
  }

  /** Describes for the log what is expected of a route: ratios to the client's estimate by kind. */
  describe(route: string): string {
    const kinds = (this.listKinds(route) ?? []).filter(({ isWorthStoring }) => isWorthStoring);
    return kinds
      .sort((left, right) => right.histogram.total - left.histogram.total)
      .slice(0, MAXIMUM_DESCRIBED_KINDS)
      .map(({ path, distribution }) => {
        const tail = distribution.computeQuantile(DESCRIBED_PART);
        return `${path.join('/')} ${distribution.mean.toFixed(2)} to ${tail.toFixed(2)}`;
      })
      .join(', ');
  }

  /** Takes what is expected of a route now as stored. */
  acceptAsStored(route: string): void {
    for (const kind of this.listKinds(route) ?? []) kind.acceptAsStored();
  }

  /** Gets what is expected of a step's tasks; persistent ones never end, so nothing is learned. */
  #getDistribution(route: string, step: Step): Distribution {
    return step.isPersistent ? PRIOR : (this.#findKind(route, step)?.distribution ?? PRIOR);
  }

  /** Finds the narrowest kind of a step's tasks without keeping a new one. */
  #findKind(route: string, step: Step): TaskKind | undefined {
    const entry = this.#steps.get(step);
    const kinds = this.#routes.get(route);
    if (entry?.route === route) {
      if (entry.own !== undefined) return entry.own;
      if (entry.kinds === kinds && entry.revision === kinds.revision) return entry.parent;
    }
    if (kinds === undefined) return undefined;
    const parent = kinds.findKind(step);
    this.#steps.set(step, { route, kinds, revision: kinds.revision, parent, own: undefined });
    return parent;
  }

  /** Gets the narrowest kind of a step's tasks to record a run. */
  #getKind(route: string, step: Step): TaskKind {
    const kinds = this.#getRoute(route);
    const parent = kinds.getKind(step);
    // The only task of a step teaches nothing about others of the step.
    if (step.count <= 1) return parent;
    const entry = this.#steps.get(step);
    const own = (entry?.route === route ? entry.own : undefined) ?? new TaskKind([], parent);
    // The wider kind may have been dropped since and created again.
    own.parent = parent;
    this.#steps.set(step, { route, kinds, revision: kinds.revision, parent, own });
    return own;
  }

  #getRoute(route: string): RouteKinds {
    const known = this.#routes.get(route);
    if (known !== undefined) return known;
    if (this.#routes.size >= MAXIMUM_ROUTES) this.#dropLightestRoute();
    const created = new RouteKinds();
    this.#routes.set(route, created);
    return created;
  }

  #dropLightestRoute(): void {
    let least = Infinity;
    let lightest: string | undefined;
    for (const [route, { weight }] of this.#routes) {
      if (weight >= least) continue;
      least = weight;
      lightest = route;
    }
    if (lightest !== undefined) this.#routes.delete(lightest);
  }
}

/** Gets the client's estimate of a task's duration in milliseconds, or the default. */
export function getDeclaredMs(step: Step): number {
  return step.estimatedMs > 0 ? step.estimatedMs : DEFAULT_TASK_MS;
}

/** Computes the weight of a run: the tasks of one step share the error of one estimate. */
function computeWeight(step: Step): number {
  return 1 / Math.sqrt(Math.max(1, step.count));
}

function withdraw(bound: RecordedBound | undefined): void {
  for (const [kind, receipt] of bound?.receipts ?? []) kind.withdraw(receipt);
}
