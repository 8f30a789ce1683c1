import type { EndKind, Vm } from '@currantgap/model';
import type { Result } from 'neverthrow';

/** Address of one incarnation of a target. */
export interface TargetAddress {
  readonly id: string;
  /** `host:port`. */
  readonly address: string;
  readonly dataCentre: string;
}

/** An order whose meaning belongs to one incarnation, so that it is not sent for long. */
export interface PerishableOrder {
  /**
   * Time on the boot clock of the node that makes the call, in milliseconds, after which the call is
   * no longer sent; undefined while no node has been chosen.
   */
  readonly sendBefore?: number;
}

/** An order to start a run of a task. */
export interface StartOrder extends PerishableOrder {
  /** Task name, `ID.K.STEP.INDEX`. */
  readonly task: string;
  readonly run: number;
  readonly spec: string;
  /** Milliseconds on the target's clock after which the target refuses the order. */
  readonly deadline: number;
  /** Reading, in milliseconds, that the clock of the incarnation that the order is meant for has passed. */
  readonly minimumClockMs: number;
  /** Fencing token of the owner's term. */
  readonly token: number;
  /** Checkpoint from which the run resumes; empty if there is none. */
  readonly checkpoint: string;
  /** Ticket of the advice service; undefined if the route has no policy. */
  readonly ticket: string | undefined;
}

/** Outcome of a start order. */
export enum StartOutcome {
  Accepted = 'accepted',
  /** A later incarnation has accepted the order, whose deadline is on the clock of the former one. */
  AcceptedLater = 'accepted-by-later-lifetime',
  /** The target has seen a higher fencing token. */
  Fenced = 'fenced',
  /** A run with this or a higher number was stopped or has ended on the target. */
  Superseded = 'superseded',
  /** The order arrived after its deadline. */
  Late = 'late',
  NoCapacity = 'no-room',
  TicketInvalid = 'ticket-invalid',
  Malformed = 'malformed',
  /** The target is unhealthy and did not carry the order out. */
  Unhealthy = 'unhealthy',
  /** A different incarnation of the target answers at this address. */
  OtherIncarnation = 'other-lifetime',
  /** The order was not sent. */
  Unsent = 'unsent',
  /**
   * No answer arrived and the call was given up: the target may have carried the order out, or may still do
   * so, but the order is sent no more.
   */
  Abandoned = 'abandoned',
  /** Nothing is known: the call may be under way, and reach the target or a later incarnation. */
  Unknown = 'unknown',
}

/** Whether a target has begun the run of a start with this outcome. */
export function isAccepted(outcome: StartOutcome): boolean {
  return outcome === StartOutcome.Accepted || outcome === StartOutcome.AcceptedLater;
}

/** Whether a target may have carried out, or may still carry out, a start with this outcome. */
export function isUnanswered(outcome: StartOutcome): boolean {
  return outcome === StartOutcome.Abandoned || outcome === StartOutcome.Unknown;
}

/** Outcome of an order to stop a run or to change its pace. */
export enum OrderOutcome {
  Accepted = 'accepted',
  Fenced = 'fenced',
  Rejected = 'rejected',
  OtherIncarnation = 'other-lifetime',
  Unknown = 'unknown',
}

/** A run that is active on a target. */
export interface ActiveRun {
  readonly task: string;
  readonly run: number;
  readonly checkpoint: string;
  /** 100 while a persistent task is serving; progress of other tasks. */
  readonly percent: number;
  /** Tail latency in milliseconds for a serving task, CPU use in thousandths of a core for others. */
  readonly reading: number;
}

/** A run that has ended on a target. */
export interface EndedRun {
  /** Position in the ended runs of one incarnation; increases by one with each. */
  readonly sequence: number;
  readonly task: string;
  readonly run: number;
  readonly kind: EndKind;
  readonly checkpoint: string;
}

/** Active and ended runs of a target. */
export interface TargetReport {
  /** The target's monotonic clock at the time of its answer, in milliseconds. */
  readonly clockMs: number;
  /** Start of the incarnation that answered, Unix milliseconds; undefined if it is not reported. */
  readonly bornAt: number | undefined;
  /** All active runs. */
  readonly running: readonly ActiveRun[];
  /** The oldest ended runs that were not acknowledged. */
  readonly ended: readonly EndedRun[];
  /** Whether `ended` was cut off: a run in neither list may have ended, in whatever way. */
  readonly hasMoreEnds: boolean;
}

/** An order to renew the leases of all runs on a target, answered with a report. */
export interface LeaseRenewalOrder extends PerishableOrder {
  readonly token: number;
  /** Highest sequence of ended runs that are stored; the target need not list them again. */
  readonly acknowledgedThrough: number;
  /**
   * New lease expiry, milliseconds on the target's clock; undefined while that clock is not known or
   * no lease may be renewed.
   */
  readonly deadline: number | undefined;
  /** Milliseconds for which the target may delay its answer until a run ends (long polling). */
  readonly waitMs: number;
  /** Milliseconds after which the call is given up; `CALL_TIMEOUT_MS` more than `waitMs` if undefined. */
  readonly timeoutMs?: number | undefined;
}

/** Reason why a lease renewal returned no report. */
export enum LeaseRenewalFault {
  Fenced = 'fenced',
  OtherIncarnation = 'other-lifetime',
  /** The answer was not a report. */
  Rejected = 'rejected',
  NoAnswer = 'no-answer',
}

/** Calls to targets. No method rejects: failures are part of the results. */
export abstract class TargetPort {
  /** Starts a run; `signal` gives the call up. */
  abstract start(
    target: TargetAddress,
    order: StartOrder,
    signal?: AbortSignal,
  ): Promise<StartOutcome>;
  abstract stop(target: TargetAddress, order: RunOrder): Promise<OrderOutcome>;
  /** Renews the leases on a target and reads its active and ended runs. */
  abstract renewLeases(
    target: TargetAddress,
    order: LeaseRenewalOrder,
  ): Promise<Result<TargetReport, LeaseRenewalFault>>;
  abstract setPace(target: TargetAddress, order: PaceOrder): Promise<OrderOutcome>;
}

/** An order that concerns one run. */
export interface RunOrder {
  readonly task: string;
  readonly run: number;
  /** Fencing token of the owner's term. */
  readonly token: number;
}

/** An order to change the speed of a filler. */
export interface PaceOrder extends RunOrder {
  /** Share of full speed, 0 to 100. */
  readonly percent: number;
}

/** Outcome of an order for a VM. */
export enum VmOrderOutcome {
  Accepted = 'accepted',
  Fenced = 'fenced',
  /** The VM is not up, or is leaving. */
  Busy = 'busy',
  NotInWave = 'not-in-wave',
  /** The VM does not exist, or the pool does not accept it. */
  Invalid = 'invalid',
  /** The order was not carried out and can be sent again later. */
  Refused = 'refused',
  Unknown = 'unknown',
}

/** An order for one VM. */
export interface VmOrder {
  readonly vm: string;
  /** Fencing token of the owner's term. */
  readonly token: number;
}

/** Calls to the VM service. */
export abstract class VmPort {
  /** Lists all VMs; undefined if the service did not answer. */
  abstract list(): Promise<readonly Vm[] | undefined>;
  /** Moves a VM to another pool. */
  abstract move(order: VmOrder, pool: string): Promise<VmOrderOutcome>;
  /** Begins the maintenance of a VM as part of a wave. */
  abstract maintain(order: VmOrder, wave: number): Promise<VmOrderOutcome>;
}

/** Permission to run a step on a target; the start order must carry the ticket. */
export interface Ticket {
  readonly targetId: string;
  readonly ticket: string;
}

/** Calls to the advice service. */
export abstract class AdvicePort {
  /** Requests tickets for the targets that may run a step; undefined if there was no answer. */
  abstract requestTickets(
    step: string,
    targetIds: readonly string[],
  ): Promise<readonly Ticket[] | undefined>;
}
