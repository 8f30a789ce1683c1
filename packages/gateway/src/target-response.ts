import type { Fault } from '@currantgap/model';
import type { IncomingHttpHeaders, OutgoingHttpHeaders } from 'node:http';
import type { Writable } from 'node:stream';
import type { SendStatus } from './pending-request.ts';

/** Status and headers of a target's answer. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: OutgoingHttpHeaders;
}

/** A whole answer small enough to be held in memory. */
export interface BufferedResponse extends ResponseHead {
  readonly body: Buffer;
}

/** How a send ended and, when it was answered and not streamed, the answer. */
export interface SendResult {
  readonly status: SendStatus;
  readonly response?: BufferedResponse;
  /** Why there is no whole answer. */
  readonly fault?: Fault;
  /** Whether the answer has gone to the caller as a stream. */
  readonly isStreamed?: boolean;
}

/** Where the relay sends an answer that is too large to be held in memory. */
export abstract class ResponseSink {
  /** Opens the caller's side; undefined when the caller has gone. */
  abstract open(head: ResponseHead): Writable | undefined;
}

/** Headers that concern one connection only. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
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

/** Copies the headers that are passed on. */
export function collectHeaders(headers: IncomingHttpHeaders): OutgoingHttpHeaders {
  const collected: OutgoingHttpHeaders = {};
  for (const [name, value] of Object.entries(headers)) {
    if (!CONNECTION_HEADERS.has(name) && value !== undefined) collected[name] = value;
  }
  return collected;
}
