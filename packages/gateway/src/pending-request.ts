import type { Service, Vm } from '@currantgap/environment';
import type { Fault, Instant, TeamName } from '@currantgap/model';
import type { QueuedItem } from '@currantgap/sharing';
import type { IncomingHttpHeaders } from 'node:http';

/** The parts of a caller's request that are forwarded to a target. */
export interface RequestContent {
  readonly method: string;
  /** Path and query without the leading name of the service. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** An admitted request that is waiting or running. */
export interface PendingRequest extends QueuedItem {
  readonly id: string;
  readonly team: TeamName;
  readonly service: Service;
  /** Hash of the key of the request; undefined if it came without a key to an open service. */
  readonly keyHash: string | undefined;
  readonly arrivedAt: Instant;
  readonly deadline: Instant;
  readonly content: RequestContent;
  /** Whether the request has the same effect if it runs more than once. */
  readonly isIdempotent: boolean;
  readonly handler: RequestHandler;
  /** Number of sends so far. */
  sendCount: number;
  /** Whether a target may have run the request in one of the sends so far. */
  hasPossiblyRun: boolean;
  /** VM of the last send, which a retry avoids if possible. */
  lastVm: string | undefined;
}

/** Callbacks for a request that the dispatcher starts or refuses. */
export abstract class RequestHandler {
  /** Whether the caller has disconnected. */
  abstract get isAbandoned(): boolean;

  /** Sends the request to a target. The dispatcher has already taken the permits. */
  abstract start(request: PendingRequest, vm: Vm, startedAt: Instant): void;

  /** Refuses the request and tells the caller whether it may have run in an earlier send. */
  abstract refuse(request: PendingRequest, fault: Fault): void;
}

/** Outcome of a send to a target. */
export enum SendStatus {
  /** A complete response was received. */
  Answered = 'answered',
  /** A complete response with a server error was received. */
  Failed = 'failed',
  /** No byte was sent, or the target reported that it did not run the request. */
  NotRun = 'not-run',
  /** Bytes may have been sent, but no complete response was received. */
  Lost = 'lost',
}
