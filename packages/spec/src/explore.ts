import { fromTransition, type EventObject } from 'xstate';
import { getAdjacencyMap } from 'xstate/graph';

/** A step of a specification, with a label for traces. */
export interface Step extends EventObject {
  readonly type: string;
}

/** A specification as a transition system. */
export abstract class Specification<State, Event extends Step> {
  abstract readonly name: string;
  abstract get initial(): State;

  /** Lists the steps that are possible in a state. */
  abstract listSteps(state: State): Event[];

  /** Applies a step that is possible. Must not change `state`. */
  abstract apply(state: State, step: Event): State;

  /** Encodes a state; equal states have equal codes. */
  abstract encode(state: State): string;

  /** Describes the broken invariant of a state, if any. */
  abstract findViolation(state: State): string | undefined;
}

/** What an exploration found. */
export interface Exploration {
  readonly states: number;
  readonly transitions: number;
  /** The broken invariant of the nearest violation, if any. */
  readonly violation: string | undefined;
  /** Shortest sequence of steps to the violation. */
  readonly trace: readonly string[];
}

/** Explores every reachable state, breadth first, until a violation is found. */
export function explore<State, Event extends Step>(
  specification: Specification<State, Event>,
): Exploration {
  return new Explorer(specification).run();
}

interface Origin {
  readonly from: string;
  readonly step: string;
}

/** One exploration. Steps to states already seen are counted and not followed. */
class Explorer<State, Event extends Step> {
  readonly #specification: Specification<State, Event>;
  readonly #origins = new Map<string, Origin | undefined>();
  #transitions = 0;
  #violation: string | undefined;
  #trace: string[] = [];

  constructor(specification: Specification<State, Event>) {
    this.#specification = specification;
  }

  run(): Exploration {
    const { initial } = this.#specification;
    this.#origins.set(this.#specification.encode(initial), undefined);
    const logic = fromTransition(
      (state: State, step: Event) => this.#specification.apply(state, step),
      initial,
    );
    getAdjacencyMap(logic, {
      events: (snapshot) => this.#listNewSteps(snapshot.context),
      serializeState: (snapshot) => this.#specification.encode(snapshot.context),
      serializeEvent: (step) => step.type,
    });
    return {
      states: this.#origins.size,
      transitions: this.#transitions,
      violation: this.#violation,
      trace: this.#trace,
    };
  }

  #listNewSteps(state: State): Event[] {
    if (this.#violation !== undefined) return [];
    const from = this.#specification.encode(state);
    this.#violation = this.#specification.findViolation(state);
    if (this.#violation !== undefined) {
      this.#trace = this.#buildTrace(from);
      return [];
    }
    return this.#specification.listSteps(state).filter((step) => this.#isNew(from, state, step));
  }

  #isNew(from: string, state: State, step: Event): boolean {
    this.#transitions += 1;
    const key = this.#specification.encode(this.#specification.apply(state, step));
    if (this.#origins.has(key)) return false;
    this.#origins.set(key, { from, step: step.type });
    return true;
  }

  #buildTrace(key: string): string[] {
    const trace: string[] = [];
    let origin = this.#origins.get(key);
    while (origin !== undefined) {
      trace.unshift(origin.step);
      origin = this.#origins.get(origin.from);
    }
    return trace;
  }
}
