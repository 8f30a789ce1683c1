import type { Step } from './explore.ts';

/** Rules of the take-over protocol that a check omits; each omission must lead to a violation. */
export enum TakeoverFault {
  None = 'none',
  /** Targets accept start requests with any fencing token. */
  NoFence = 'no-fence',
  /** A successor starts the task before it knows what the predecessor left running. */
  StartDuringRecovery = 'start-before-settled',
  /** An owner abandons an unanswered start without stopping the run. */
  RestartWithoutStop = 'restart-without-stop',
  /** An end is acknowledged to the target before it is written to the ledger. */
  AcknowledgeBeforeWrite = 'acknowledge-before-write',
  /** A successor takes over without reading the ledger. */
  NoLedger = 'no-ledger',
}

/** A target, as far as the task concerns it. */
export interface TakeoverTarget {
  /** Highest fencing token seen. */
  readonly highestToken: number;
  /** Number of the run in progress; 0 if there is none. */
  readonly run: number;
  /** Number of a completed run whose end is not yet acknowledged; 0 if there is none. */
  readonly unacknowledgedRun: number;
  /** Whether the lease expired between the end of the run and its acknowledgement. */
  readonly hasLeaseExpired: boolean;
  /** Highest run number that ended or was stopped; runs up to it cannot start again. */
  readonly highestEndedRun: number;
}

/** An owner; its index is its fencing token. */
export interface TakeoverOwner {
  readonly isActive: boolean;
  /** Bit set of the targets that have reported under its token. */
  readonly reportedTargets: number;
  /** Whether all leases and requests of the predecessor have expired. */
  readonly hasRecoveryEnded: boolean;
  /** Target to which it has assigned the task; -1 if there is none. */
  readonly assignedTarget: number;
  readonly run: number;
  /** Whether it knows that a run has completed the task. */
  readonly hasSeenEnd: boolean;
  /** Whether it knows that the ledger holds the end. */
  readonly hasRecordedEnd: boolean;
  readonly starts: number;
}

/** A start request in flight. */
export interface StartRequest {
  readonly target: number;
  readonly run: number;
  readonly token: number;
}

/** One task, two targets, an owner and its successor. */
export interface TakeoverState {
  readonly owners: readonly TakeoverOwner[];
  readonly targets: readonly TakeoverTarget[];
  readonly startRequests: readonly StartRequest[];
  readonly ledgerFence: number;
  /** Whether the ledger holds the end of the task. */
  readonly isDoneInLedger: boolean;
  /** Whether an end was acknowledged to a target whose lease had not expired. */
  readonly isEndAcknowledged: boolean;
  /** Whether a run started while a target with a valid lease held an unacknowledged end. */
  readonly hasRestarted: boolean;
  readonly violation: string | undefined;
}

/** A step and the transition that it makes. */
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
