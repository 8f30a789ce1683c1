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
  Use = 'use',
  Drain = 'drain',
}

/** A request was admitted. */
export interface ArriveMessage {
  readonly kind: MessageKind.Arrive;
  readonly request: PendingRequest;
  /** Whether it was sent before and goes to the head of its queue. */
  readonly isRetry: boolean;
}

/** A send ended. */
export interface FinishMessage {
  readonly kind: MessageKind.Finish;
  readonly request: PendingRequest;
  readonly vm: string;
  readonly status: SendStatus;
  /** Milliseconds for which the slot was in use. */
  readonly runMs: number;
}

/** Work whose end was not seen has surely ended by now. */
export interface ReleaseMessage {
  readonly kind: MessageKind.Release;
  readonly resources: readonly string[];
}

/** A new configuration is in force. */
export interface ConfigureMessage {
  readonly kind: MessageKind.Configure;
  readonly state: EnvironmentState;
}

/** Time has passed: queues are looked through. */
export interface SweepMessage {
  readonly kind: MessageKind.Sweep;
}

/** Time has passed: demand is taken stock of and services are divided anew. */
export interface RefreshMessage {
  readonly kind: MessageKind.Refresh;
}

/** Something is to be done with the allowances, which the dispatcher owns. */
export interface UseMessage {
  readonly kind: MessageKind.Use;
  readonly use: (allowances: Allowances) => void;
}

/** `resolve` is to be called once nothing waits or runs any more. */
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
  | UseMessage
  | DrainMessage;

/** Moves permits between this entry and its peers. */
export abstract class Borrower {
  /** Borrows up to `count` permits of a group from a peer; they arrive by `Use`. */
  abstract borrow(group: PermitGroup, count: number, from: Incarnation): void;

  /** Sends a peer the permits that were given to it, without waiting for the next heartbeat. */
  abstract deliver(to: Incarnation): void;
}
