import type { Step } from './explore.ts';

/** Rules left out on purpose; each must lead to a violation. */
export enum TakeoverFault {
  None = 'none',
  /** Targets take orders of any token. */
  NoFence = 'no-fence',
  /** A successor starts work of before without knowing what runs. */
  StartBeforeSettled = 'start-before-settled',
  /** An unanswered start is given up without a stop. */
  RestartWithoutStop = 'restart-without-stop',
  /** An end is acknowledged before the ledger holds it. */
  AcknowledgeBeforeWrite = 'acknowledge-before-write',
  /** A successor does not read the ledger. */
  NoLedger = 'no-ledger',
}

/** A target and its one task. */
export interface TakeoverTarget {
  /** Highest token seen. */
  readonly token: number;
  /** Run that is on it; 0 without one. */
  readonly run: number;
  /** Run that ended done and is not acknowledged; 0 without one. */
  readonly done: number;
  /** The lease ended between the end and its acknowledgement. */
  readonly isDoneLapsed: boolean;
  /** Highest run that was stopped or ended. */
  readonly highest: number;
}

/** An owner; its number is its token. */
export interface TakeoverOwner {
  readonly isActive: boolean;
  /** Targets that have reported under its token, as a bit set. */
  readonly heard: number;
  readonly isSettled: boolean;
  /** Target on which it believes the task to be; -1 without one. */
  readonly placed: number;
  readonly run: number;
  /** It has seen a done end. */
  readonly hasDone: boolean;
  /** The ledger holds the end, as far as it knows. */
  readonly hasWritten: boolean;
  readonly starts: number;
}

/** A start on its way. */
export interface TakeoverOrder {
  readonly target: number;
  readonly run: number;
  readonly token: number;
}

/** One task, two targets, an owner and its successor. */
export interface TakeoverState {
  readonly owners: readonly TakeoverOwner[];
  readonly targets: readonly TakeoverTarget[];
  readonly orders: readonly TakeoverOrder[];
  readonly fence: number;
  readonly isDone: boolean;
  readonly isNoted: boolean;
  /** A run began while a done end lay on a target whose lease still ran. */
  readonly hasRestarted: boolean;
  readonly violation: string | undefined;
}

/** A step with what it does. */
export interface TakeoverStep extends Step {
  readonly apply: (state: TakeoverState) => TakeoverState;
}

/** Replaces one owner. */
export function setOwner(
  state: TakeoverState,
  index: number,
  change: Partial<TakeoverOwner>,
): TakeoverState {
  const owners = state.owners.map((owner, at) => (at === index ? { ...owner, ...change } : owner));
  return { ...state, owners };
}

/** Replaces one target. */
export function setTarget(
  state: TakeoverState,
  index: number,
  change: Partial<TakeoverTarget>,
): TakeoverState {
  const targets = state.targets.map((target, at) =>
    at === index ? { ...target, ...change } : target,
  );
  return { ...state, targets };
}
