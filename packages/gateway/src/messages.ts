import type { Allowances, PermitGroup } from '@currantgap/allowance';
import type { EnvironmentState } from '@currantgap/environment';
import type { Incarnation } from '@currantgap/model';
import type { PendingRequest, SendStatus } from './pending-request.ts';

/** Kinds of messages to the dispatcher. */
export enum MessageKind {
  Arrive = 'arrive',
  Finish = 'finish',
  Release = 'release',
  Configure = 'configure',
  Sweep = 'sweep',
  Refresh = 'refresh',
  UseAllowances = 'use',
  Drain = 'drain',
}

/** Adds an admitted request, or a request to be retried, to its queue. */
export interface ArriveMessage {
  readonly kind: MessageKind.Arrive;
  readonly request: PendingRequest;
  /** Whether the request was sent before, in which case it goes to the head of its queue. */
  readonly isRetry: boolean;
}

/** Reports the end of a send to a target. */
export interface FinishMessage {
  readonly kind: MessageKind.Finish;
  readonly request: PendingRequest;
  readonly vm: string;
  readonly status: SendStatus;
  /** Milliseconds during which the send used a slot. */
  readonly runMs: number;
}

/** Releases the permits of a lost send, whose maximum run time has passed. */
export interface ReleaseMessage {
  readonly kind: MessageKind.Release;
  readonly resources: readonly string[];
}

/** Applies a new configuration. */
export interface ConfigureMessage {
  readonly kind: MessageKind.Configure;
  readonly state: EnvironmentState;
}

/** Sent periodically to refuse the waiting requests that must not start any more. */
export interface SweepMessage {
  readonly kind: MessageKind.Sweep;
}

/** Sent periodically to collect the demand of the teams and recompute the slot allocation. */
export interface RefreshMessage {
  readonly kind: MessageKind.Refresh;
}

/** Runs a callback on the allowances, which the dispatcher owns. */
export interface UseAllowancesMessage {
  readonly kind: MessageKind.UseAllowances;
  readonly use: (allowances: Allowances) => void;
}

/** Starts a drain: `resolve` is called once no request is waiting or running. */
export interface DrainMessage {
  readonly kind: MessageKind.Drain;
  readonly resolve: () => void;
}

/** A message to the dispatcher. */
export type DispatcherMessage =
  | ArriveMessage
  | FinishMessage
  | ReleaseMessage
  | ConfigureMessage
  | SweepMessage
  | RefreshMessage
  | UseAllowancesMessage
  | DrainMessage;

/** Transfers permits between this entry and its peers. */
export abstract class Borrower {
  /**
   * Borrows up to `count` permits of a group from a peer. They arrive later, in a `UseAllowances`
   * message.
   */
  abstract borrow(group: PermitGroup, count: number, from: Incarnation): void;

  /** Sends a peer the permits given to it, without waiting for the next heartbeat. */
  abstract deliver(to: Incarnation): void;
}
