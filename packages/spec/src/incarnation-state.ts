import type { Step } from './explore.ts';

/** Rules of the incarnation fence that a check omits; each omission must lead to a violation. */
export enum IncarnationFault {
  None = 'none',
  /** The token is not raised, and calls count as carried out after `shortExecution` at the latest. */
  NoRaise = 'no-raise',
  /** Leases are granted and runs are started while the fence is not closed. */
  GrantBeforeClosing = 'grant-before-closing',
  /** The answer to a call with an earlier token closes the fence. */
  CloseByEarlierToken = 'close-by-earlier-token',
  /** A start without an answer on a silent target counts as lost when the granted leases are over. */
  FreeAfterGrantedLease = 'free-after-granted-lease',
  /** A start is carried out by a later incarnation than the one whose answer freed its task. */
  CarryOutFreedStart = 'carry-out-freed-start',
}

/** Bounds of an exploration. Times are steps of the clock. */
export interface IncarnationBounds {
  readonly restarts: number;
  /** Highest number of runs of the task. */
  readonly runs: number;
  /** Highest number of times that the token is raised. */
  readonly raises: number;
  /** Highest number of calls under way. */
  readonly calls: number;
  /** Time after which a call that was sent is not carried out any more. */
  readonly latestExecution: number;
  /** The same without late execution, as the owner assumes it with `IncarnationFault.NoRaise`. */
  readonly shortExecution: number;
  /** Duration of the leases that the owner grants. */
  readonly lease: number;
  /** Duration of the longest lease that a target holds. */
  readonly maximumLease: number;
  /** Time by which the answer to a request for a report may be late. */
  readonly answerDelay: number;
}

/** Whether calls of the past can take effect, as the owner knows it. */
export enum Fence {
  Closed = 'closed',
  Doubted = 'doubted',
  Open = 'open',
  Raised = 'raised',
}

/** The target that restarts. Its incarnations are numbered. */
export interface IncarnationTarget {
  readonly incarnation: number;
  readonly isUp: boolean;
  /** Whether time has passed since the last incarnation ended. */
  readonly canReturn: boolean;
  readonly bornAt: number;
  /** Highest fencing token that the incarnation has seen. */
  readonly token: number;
  /** Numbers of the runs in progress. */
  readonly runs: readonly number[];
  readonly leaseEndsAt: number;
  /** Highest run that was stopped or has ended; runs up to it are rejected as `old`. */
  readonly highestEndedRun: number;
}

/** A start or a renewal under way, which has got no answer. */
export interface Call {
  /** Number of the run; 0 for a renewal. */
  readonly run: number;
  readonly token: number;
  readonly sentAt: number;
  /** Deadline, as a time at which the clock of the present incarnation reaches it. */
  readonly leaseEndsAt: number;
  /** Last incarnation that may carry the call out. */
  readonly lastIncarnation: number;
}

/** A report under way. */
export interface Answer {
  readonly incarnation: number;
  readonly runs: readonly number[];
  readonly token: number;
  readonly sentAt: number;
  /** Incarnation that the owner knew when it sent the request. */
  readonly knownIncarnation: number;
  /** Time by which the clock of the present incarnation is behind that of the one that answered. */
  readonly clockLag: number;
}

/** The run of the task that the owner has assigned to the target. */
export interface Assigned {
  readonly run: number;
  readonly token: number;
  readonly incarnation: number;
  /** Whether the run has begun, as an answer has shown. */
  readonly hasBegun: boolean;
  readonly expiresAt: number;
  /** Reports that were requested up to this time need not list the run. */
  readonly expectedAfter: number;
  readonly stopAnsweredAt: number | undefined;
}

/** The owner's state. */
export interface IncarnationOwner {
  readonly token: number;
  readonly fence: Fence;
  /** Incarnation that sent the last report. */
  readonly knownIncarnation: number;
  /** Time by which the clock of the present incarnation is behind that of the known one. */
  readonly clockLag: number;
  readonly leasesExpireAt: number;
  readonly leaseGrantedAt: number;
  readonly mayHoldForeignGrant: boolean;
  readonly assigned: Assigned | undefined;
  /** Number of the last run. */
  readonly lastRun: number;
  /** Whether the last run is on the other target, where it does not end. */
  readonly isElsewhere: boolean;
}

/** One owner and one task, with a target that restarts and another one that serves. */
export interface IncarnationState {
  readonly now: number;
  readonly target: IncarnationTarget;
  readonly owner: IncarnationOwner;
  readonly calls: readonly Call[];
  readonly answer: Answer | undefined;
}

/** A step and the transition that it makes. */
export interface IncarnationStep extends Step {
  readonly apply: (state: IncarnationState) => IncarnationState;
}

/** Changes the owner's state. */
export function setOwner(
  state: IncarnationState,
  change: Partial<IncarnationOwner>,
): IncarnationState {
  return { ...state, owner: { ...state.owner, ...change } };
}

/** Changes the target's state. */
export function setTarget(
  state: IncarnationState,
  change: Partial<IncarnationTarget>,
): IncarnationState {
  return { ...state, target: { ...state.target, ...change } };
}
