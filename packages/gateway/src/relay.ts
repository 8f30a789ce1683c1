import type { Service, Vm } from '@currantgap/environment';
import {
  FaultKind,
  OUTCOME_HEADER,
  Outcome,
  REQUEST_ID_HEADER,
  TIMEOUT_HEADER,
  createFault,
  type Fault,
  describeError,
} from '@currantgap/model';
import { parseAddress } from '@currantgap/settings';
import type { Clock } from '@currantgap/tasks';
import { once } from 'node:events';
import { Agent, request as openRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Writable } from 'node:stream';
import {
  collectHeaders,
  type ResponseHead,
  type ResponseSink,
  type SendResult,
} from './target-response.ts';
import { SendStatus, type PendingRequest } from './pending-request.ts';

/** Maximum bytes of a response body that are buffered in memory; a larger body is streamed. */
export const MAXIMUM_BUFFERED_RESPONSE_BYTES = 262_144;

const FIRST_SERVER_ERROR = 500;

/** Sends requests to targets over keep-alive connections without pipelining. */
export class Relay {
  readonly #clock: Clock;
  readonly #agents = new Map<string, Agent>();
  #entryCount = 1;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Sets the number of entries that share the connections of a target. */
  setEntryCount(count: number): void {
    this.#entryCount = Math.max(1, count);
  }

  /**
   * Sends a request to the target on a VM and reads the response, also after the deadline of the
   * request, since only the response shows that the slot is free again. Gives up after the maximum
   * run time of the service. Never throws.
   */
  async send(request: PendingRequest, vm: Vm, sink: ResponseSink): Promise<SendResult> {
    const attempt = new SendAttempt(this.#getAgent(vm, request.service), request, vm, sink);
    const runDeadline = this.#clock.now + request.service.maximumRunMs;
    const timer = this.#clock.schedule(Math.max(runDeadline, request.deadline), () => {
      attempt.abandon('the longest run has passed');
    });
    const result = await attempt.run(Math.max(1, Math.floor(request.deadline - this.#clock.now)));
    timer.stop();
    return result;
  }

  /** Closes all connections. */
  close(): void {
    for (const agent of this.#agents.values()) agent.destroy();
  }

  #getAgent(vm: Vm, service: Service): Agent {
    const key = `${service.name} ${vm.address}`;
    const existing = this.#agents.get(key);
    const agent = existing ?? new Agent({ keepAlive: true, scheduling: 'lifo' });
    agent.maxFreeSockets = this.#computeIdleConnections(service);
    this.#agents.set(key, agent);
    return agent;
  }

  /**
   * Computes how many idle connections this entry keeps to a target, which is at least one. The
   * slots limit the connections in use; the other connections are divided among the entries.
   */
  #computeIdleConnections(service: Service): number {
    return Math.max(1, Math.floor((service.connections - service.slots) / this.#entryCount));
  }
}

/** One send of a request to a target. */
class SendAttempt {
  readonly #outgoing: ClientRequest;
  readonly #request: PendingRequest;
  readonly #vm: Vm;
  readonly #sink: ResponseSink;
  #hasConnected = false;
  #stream: Writable | undefined;

  constructor(agent: Agent, request: PendingRequest, vm: Vm, sink: ResponseSink) {
    this.#request = request;
    this.#vm = vm;
    this.#sink = sink;
    const { host, port } = parseAddress(vm.address);
    const { method, path } = request.content;
    this.#outgoing = openRequest({ agent, host, port, method, path });
    this.#outgoing.on('socket', (socket) => {
      if (!socket.connecting) this.#hasConnected = true;
      else socket.once('connect', () => (this.#hasConnected = true));
    });
  }

  /** Destroys the connection, so that it is never used for another request. */
  abandon(reason: string): void {
    this.#outgoing.destroy(new Error(reason));
  }

  /** Sends the request and reads the response. Never throws. */
  async run(timeoutMs: number): Promise<SendResult> {
    try {
      const incoming = await this.#sendRequest(timeoutMs);
      return await this.#readResponse(incoming);
    } catch (error) {
      this.#outgoing.destroy();
      this.#stream?.destroy();
      return this.#describeFailure(describeError(error));
    }
  }

  async #sendRequest(timeoutMs: number): Promise<IncomingMessage> {
    const { content, id } = this.#request;
    const headers = collectHeaders(content.headers);
    for (const [name, value] of Object.entries(headers)) {
      if (value !== undefined) this.#outgoing.setHeader(name, value);
    }
    this.#outgoing.setHeader(REQUEST_ID_HEADER, id);
    this.#outgoing.setHeader(TIMEOUT_HEADER, String(timeoutMs));
    this.#outgoing.setHeader('content-length', content.body.length);
    return new Promise((resolve, reject) => {
      this.#outgoing.on('response', resolve);
      this.#outgoing.on('error', reject);
      this.#outgoing.end(content.body);
    });
  }

  async #readResponse(incoming: IncomingMessage): Promise<SendResult> {
    if (incoming.headers[REQUEST_ID_HEADER] !== this.#request.id) {
      throw new Error('the answer belongs to another request');
    }
    const head: ResponseHead = {
      status: incoming.statusCode ?? FIRST_SERVER_ERROR,
      headers: collectHeaders(incoming.headers),
    };
    const body = await this.#readBody(incoming, head);
    if (!incoming.complete) throw new Error('the answer was cut off');
    if (incoming.headers[OUTCOME_HEADER] === Outcome.NotRun) return this.#describeRefusal();
    const status = head.status < FIRST_SERVER_ERROR ? SendStatus.Answered : SendStatus.Failed;
    if (this.#stream === undefined) return { status, response: { ...head, body } };
    this.#stream.end();
    return { status, isStreamed: true };
  }

  /** Buffers the body in memory, or streams it to the caller once it exceeds the buffer limit. */
  async #readBody(incoming: IncomingMessage, head: ResponseHead): Promise<Buffer> {
    const chunks: Buffer[] = [];
    let bufferedBytes = 0;
    await new Promise<void>((resolve, reject) => {
      incoming.on('data', (chunk: Buffer) => {
        chunks.push(chunk);
        bufferedBytes += chunk.length;
        if (bufferedBytes <= MAXIMUM_BUFFERED_RESPONSE_BYTES) return;
        incoming.removeAllListeners('data');
        this.#forwardBody(incoming, head, Buffer.concat(chunks)).then(resolve, reject);
      });
      incoming.on('end', resolve);
      incoming.on('error', reject);
    });
    return this.#stream === undefined ? Buffer.concat(chunks) : Buffer.alloc(0);
  }

  /** Streams a large body to the caller, reading only as fast as the caller does. */
  async #forwardBody(incoming: IncomingMessage, head: ResponseHead, first: Buffer): Promise<void> {
    incoming.pause();
    this.#stream = this.#sink.open(head);
    if (this.#stream === undefined) throw new Error('the caller has gone');
    await writeChunk(this.#stream, first);
    for await (const chunk of incoming) await writeChunk(this.#stream, chunk as Buffer);
  }

  /** Describes a send that the target refused without running the request. */
  #describeRefusal(): SendResult {
    const fault = createFault(
      FaultKind.Unavailable,
      `The target on VM ${this.#vm.name} refused the request and did not run it.`,
      'Send it again later.',
    );
    return { status: SendStatus.NotRun, fault };
  }

  /** Describes a send without a complete response. Without a connection, no byte was sent. */
  #describeFailure(reason: string): SendResult {
    if (!this.#hasConnected) {
      return { status: SendStatus.NotRun, fault: createUnreachableFault(this.#vm.name, reason) };
    }
    const fault = createFault(
      FaultKind.OutcomeUnknown,
      `No whole answer came from VM ${this.#vm.name}: ${reason}.`,
      'Check whether the request took effect before sending it again.',
    );
    return { status: SendStatus.Lost, fault, isStreamed: this.#stream !== undefined };
  }
}

async function writeChunk(stream: Writable, chunk: Buffer): Promise<void> {
  if (stream.destroyed) throw new Error('the caller has gone');
  if (!stream.write(chunk)) await once(stream, 'drain');
}

function createUnreachableFault(vm: string, reason: string): Fault {
  return createFault(
    FaultKind.Unavailable,
    `VM ${vm} could not be reached: ${reason}.`,
    'Send the request again later.',
  );
}
