import type { Service, Vm } from '@currantgap/environment';
import type { Fault, Instant, TeamName } from '@currantgap/model';
import type { QueuedItem } from '@currantgap/sharing';
import type { IncomingHttpHeaders } from 'node:http';

/** What of a caller's request is sent on to a target. */
export interface RequestContent {
  readonly method: string;
  /** Path and query below the service's name. */
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** A request that was admitted and waits, or runs. */
export interface PendingRequest extends QueuedItem {
  readonly id: string;
  readonly team: TeamName;
  readonly service: Service;
  /** Hash of the key it came with; undefined on a service open to all. */
  readonly keyHash: string | undefined;
  readonly arrivedAt: Instant;
  readonly deadline: Instant;
  readonly content: RequestContent;
  /** Whether running it twice does no harm. */
  readonly isIdempotent: boolean;
  readonly handler: RequestHandler;
  /** Sends so far. */
  sendCount: number;
  /** Whether bytes of an earlier send left and its end is not known to be without effect. */
  hasPossiblyRun: boolean;
  /** VM of the last send, to be avoided by a retry. */
  lastVm: string | undefined;
}

/** What the owner of a request does when it is started or refused. */
export abstract class RequestHandler {
  /** Whether the caller has gone. */
  abstract get isAbandoned(): boolean;

  /** Starts the request on a target; the permits are taken. */
  abstract start(request: PendingRequest, vm: Vm, startedAt: Instant): void;

  /** Refuses a request that did not run. */
  abstract refuse(request: PendingRequest, fault: Fault): void;
}

/** How a send to a target ended. */
export enum SendStatus {
  /** A whole answer came. */
  Answered = 'answered',
  /** A whole answer came that reports an error of the target. */
  Failed = 'failed',
  /** No byte left, or the target said that it did not run the request. */
  NotRun = 'not-run',
  /** Bytes left and no whole answer came. */
  Lost = 'lost',
}
