import { compareUrgency, type OrderingCriteria } from '@currantgap/scheduling';

/** Some waiting tasks of a step that are to be placed next. */
export interface Turn<T> {
  readonly candidate: T;
  /** Position of the first of them among the waiting tasks of the step. */
  readonly from: number;
  /** Position after the last of them. */
  readonly to: number;
}

/** A step with tasks to place. */
export interface PlacementCandidate extends OrderingCriteria {
  /** Tasks that wait. */
  readonly waiting: readonly unknown[];
}

/** Decides which waiting tasks of a pool are placed next within one planning pass. */
export abstract class PlacementOrder<T> {
  /** Takes the next turn; undefined if nothing is left to try. */
  abstract take(): Turn<T> | undefined;

  /** Records how many tasks of the last turn were placed, and whether one of them found no room. */
  abstract record(placedCount: number, isBlocked: boolean): void;
}

/** Gives each step one turn for all its tasks, most urgent steps first. */
export class UrgencyOrder<T extends PlacementCandidate> extends PlacementOrder<T> {
  readonly #sorted: readonly T[];
  #position = 0;

  constructor(candidates: readonly T[]) {
    super();
    this.#sorted = [...candidates].sort(compareUrgency);
  }

  take(): Turn<T> | undefined {
    const candidate = this.#sorted[this.#position];
    if (candidate === undefined) return undefined;
    this.#position += 1;
    return { candidate, from: 0, to: candidate.waiting.length };
  }

  record(): void {
    // The order does not depend on what was placed.
  }
}
