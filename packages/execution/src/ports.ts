import type { EndKind, Vm } from '@currantgap/model';
import type { Result } from 'neverthrow';

/** Where a target's lifetime is reached. */
export interface TargetAddress {
  readonly id: string;
  /** `host:port`. */
  readonly address: string;
}

/** An order to start a task. */
export interface StartOrder {
  readonly task: string;
  readonly run: number;
  readonly spec: string;
  /** On the target's clock: the order is void after it. */
  readonly deadline: number;
  readonly token: number;
  readonly checkpoint: string;
  readonly ticket: string | undefined;
}

/** What a target answered to a start. */
export enum StartOutcome {
  Accepted = 'accepted',
  /** A higher token was seen there. */
  Fenced = 'fenced',
  /** A run with this or a higher number was stopped or ended there. */
  Superseded = 'superseded',
  /** The deadline had passed. */
  Late = 'late',
  NoRoom = 'no-room',
  TicketInvalid = 'ticket-invalid',
  Malformed = 'malformed',
  /** The target is unhealthy; nothing was done. */
  Unhealthy = 'unhealthy',
  /** Another lifetime answers at this address. */
  OtherLifetime = 'other-lifetime',
  /** Nothing left this process. */
  Unsent = 'unsent',
  /** No answer: it may have been carried out, or may still be. */
  Unknown = 'unknown',
}

/** What a target answered to a stop or a change of pace. */
export enum OrderOutcome {
  Accepted = 'accepted',
  Fenced = 'fenced',
  Rejected = 'rejected',
  OtherLifetime = 'other-lifetime',
  Unknown = 'unknown',
}

/** A run that is on a target. */
export interface RunningRun {
  readonly task: string;
  readonly run: number;
  readonly checkpoint: string;
  readonly percent: number;
  /** Tail latency in milliseconds of a serving task, thousandths of a core of any other. */
  readonly reading: number;
}

/** A run that has ended on a target. */
export interface EndedRun {
  /** Rises by one with each end of a lifetime. */
  readonly sequence: number;
  readonly task: string;
  readonly run: number;
  readonly kind: EndKind;
  readonly checkpoint: string;
}

/** What a target runs and what has ended there. */
export interface TargetReport {
  /** The target's clock as it answered. */
  readonly clockMs: number;
  /** Lifetime that answered, Unix milliseconds; undefined where the target does not say. */
  readonly bornAt: number | undefined;
  readonly running: readonly RunningRun[];
  readonly ended: readonly EndedRun[];
}

/** A renewal of leases, which reads what a target runs. */
export interface HoldOrder {
  readonly token: number;
  /** Ends up to this one are noted and need not be listed again. */
  readonly acknowledgedThrough: number;
  /** On the target's clock; undefined while it is not known. */
  readonly deadline: number | undefined;
  /** Milliseconds that the answer may wait for an end. */
  readonly waitMs: number;
}

/** Why a hold brought no report. */
export enum HoldFault {
  Fenced = 'fenced',
  OtherLifetime = 'other-lifetime',
  /** It answered, but not with a report. */
  Rejected = 'rejected',
  NoAnswer = 'no-answer',
}

/** Calls to targets. None of them throws. */
export abstract class TargetPort {
  abstract start(target: TargetAddress, order: StartOrder): Promise<StartOutcome>;
  abstract stop(target: TargetAddress, order: RunOrder): Promise<OrderOutcome>;
  abstract hold(target: TargetAddress, order: HoldOrder): Promise<Result<TargetReport, HoldFault>>;
  abstract setPace(target: TargetAddress, order: PaceOrder): Promise<OrderOutcome>;
}

/** An order about one run. */
export interface RunOrder {
  readonly task: string;
  readonly run: number;
  readonly token: number;
}

/** An order to work at a share of the full speed. */
export interface PaceOrder extends RunOrder {
  readonly percent: number;
}

/** What became of an order for a VM. */
export enum VmOrderOutcome {
  Accepted = 'accepted',
  Fenced = 'fenced',
  /** The VM is not up, or is leaving. */
  Busy = 'busy',
  NotInWave = 'not-in-wave',
  /** There is no such VM, or the pool takes other VMs. */
  Invalid = 'invalid',
  /** Nothing was done; ask again later. */
  Refused = 'refused',
  Unknown = 'unknown',
}

/** An order for one VM. */
export interface VmOrder {
  readonly vm: string;
  readonly token: number;
}

/** Calls to the VM service. */
export abstract class VmPort {
  /** Lists all VMs; undefined where the service did not answer. */
  abstract list(): Promise<readonly Vm[] | undefined>;
  abstract move(order: VmOrder, pool: string): Promise<VmOrderOutcome>;
  abstract maintain(order: VmOrder, wave: number): Promise<VmOrderOutcome>;
}

/** A target that may run a step, with the ticket that a start must carry. */
export interface Ticket {
  readonly targetId: string;
  readonly ticket: string;
}

/** Calls to the advice service. */
export abstract class AdvicePort {
  /** Asks which of the targets may run a step; undefined where there was no answer. */
  abstract ask(step: string, targetIds: readonly string[]): Promise<readonly Ticket[] | undefined>;
}
