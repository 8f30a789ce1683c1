import { fromTransition, type EventObject } from 'xstate';
import { getAdjacencyMap } from 'xstate/graph';

/** A step of a specification. */
export interface Step extends EventObject {
  /** Label of the step in traces; unique among the steps of a state. */
  readonly type: string;
}

/** A specification as a transition system. */
export abstract class Specification<State, Event extends Step> {
  /** Name in the output. */
  abstract readonly name: string;
  /** The initial state. */
  abstract get initial(): State;

  /** Lists the steps that are possible in a state. */
  abstract listSteps(state: State): Event[];

  /** Applies a step that is possible. Must not change `state`. */
  abstract apply(state: State, step: Event): State;

  /** Encodes a state; equal states have equal codes. */
  abstract encode(state: State): string;

  /** Describes the invariant that a state violates, if any. */
  abstract findViolation(state: State): string | undefined;
}

/** Result of an exploration. */
export interface Exploration {
  /** Number of distinct states. */
  readonly states: number;
  /** Number of steps applied, including those to states already seen. */
  readonly transitions: number;
  /** Description of the violated invariant, if any. */
  readonly violation: string | undefined;
  /** Labels of a shortest sequence of steps to the violation; empty if there is none. */
  readonly trace: readonly string[];
}

/** Explores the reachable states breadth first until all are seen or one violates an invariant. */
export function explore<State, Event extends Step>(
  specification: Specification<State, Event>,
): Exploration {
  return new Explorer(specification).run();
}

/** State and step from which a state was first reached. */
interface Origin {
  readonly from: string;
  readonly step: string;
}

/** One exploration. It counts steps to states already seen, but does not follow them. */
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

  /** Lists the steps from a state to new states; none after a violation. */
  #listNewSteps(state: State): Event[] {
    if (this.#violation !== undefined) return [];
    const from = this.#specification.encode(state);
    this.#violation = this.#specification.findViolation(state);
    if (this.#violation !== undefined) {
      this.#trace = this.#buildTrace(from);
      return [];
    }
    return this.#specification
      .listSteps(state)
      .filter((step) => this.#recordStep(from, state, step));
  }

  /** Records a step; true if it leads to a new state. */
  #recordStep(from: string, state: State, step: Event): boolean {
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
