import type { Fault } from '@currantgap/model';
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import type { Writable } from 'node:stream';
import type { SendStatus } from './pending-request.ts';

/** Status and headers of a target's response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
}

/** A complete response that was small enough to be buffered in memory. */
export interface BufferedResponse extends ResponseHead {
  readonly body: Buffer;
}

/** The outcome of a send, with the response unless it was streamed. */
export interface SendResult {
  readonly status: SendStatus;
  readonly response?: BufferedResponse;
  /** Why there is no complete response to return to the caller. */
  readonly fault?: Fault;
  /** Whether the response was streamed to the caller, at least in part. */
  readonly isStreamed?: boolean;
}

/** Receives a response that is too large to be buffered in memory. */
export abstract class ResponseSink {
  /**
   * Sends the head and returns the stream for the body. Returns undefined when the caller has
   * disconnected or the response to it has been started already.
   */
  abstract open(head: ResponseHead): Writable | undefined;
}

/** Headers that are not forwarded, since they apply to one connection or to the entry itself. */
const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'authorization',
  'expect',
]);

/** Copies the headers that are forwarded, in both directions. */
export function collectHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders {
  const collected: OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (!UNFORWARDED_HEADERS.has(name) && value !== undefined) collected[name] = value;
  }
  return collected;
}
