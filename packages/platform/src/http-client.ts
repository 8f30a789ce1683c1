import { createFault, FaultKind, type Fault, describeError } from '@currantgap/model';
import type { TrafficMeter } from '@currantgap/telemetry';
import { Agent, request, type IncomingMessage } from 'node:http';
import { err, ok, type Result } from 'neverthrow';

/** Options of an HTTP client for one service of the platform. */
export interface HttpClientOptions {
  /** Base URL without a trailing slash. */
  readonly url: string;
  /** Milliseconds after which a call without a complete response fails. @default 1000 */
  readonly timeoutMs?: number;
  /** Counts the bytes sent and received. */
  readonly traffic?: TrafficMeter;
  /** Headers sent with every call. */
  readonly headers?: Readonly<Record<string, string>>;
}

/** An HTTP request. */
export interface HttpCall {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path with a leading slash, appended to the base URL. */
  readonly path: string;
  readonly body?: string;
}

/** A complete HTTP response. */
export interface HttpResponse {
  readonly status: number;
  readonly body: string;
}

const DEFAULT_TIMEOUT_MS = 1_000;
const MAXIMUM_SOCKETS = 16;

/** Calls one HTTP service over keep-alive connections and reads complete responses. */
export class HttpClient {
  readonly #options: HttpClientOptions;
  readonly #agent = new Agent({ keepAlive: true, maxSockets: MAXIMUM_SOCKETS });

  constructor(options: HttpClientOptions) {
    this.#options = options;
  }

  /**
   * Sends a request and returns the response, whatever its status. Fails with `OutcomeUnknown` when
   * no complete response arrived.
   */
  async send(call: HttpCall): Promise<Result<HttpResponse, Fault>> {
    try {
      return ok(await this.#send(call));
    } catch (error) {
      const reason = describeError(error);
      return err(
        createFault(
          FaultKind.OutcomeUnknown,
          `${call.method} ${this.#options.url}${call.path} failed: ${reason}.`,
          'Check that the service is up and reachable from this VM.',
        ),
      );
    }
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }

  async #send(call: HttpCall): Promise<HttpResponse> {
    const { url, timeoutMs = DEFAULT_TIMEOUT_MS, traffic, headers } = this.#options;
    return new Promise((resolve, reject) => {
      const outgoing = request(url + call.path, {
        method: call.method,
        agent: this.#agent,
        headers: { ...headers, 'content-length': Buffer.byteLength(call.body ?? '') },
      });
      const timer = setTimeout(() => {
        outgoing.destroy(new Error(`no answer within ${timeoutMs} ms`));
      }, timeoutMs);
      outgoing.on('socket', (socket) => traffic?.add(socket));
      outgoing.on('error', reject);
      outgoing.on('close', () => {
        clearTimeout(timer);
      });
      outgoing.on('response', (incoming) => {
        readBody(incoming).then((body) => {
          resolve({ status: incoming.statusCode ?? 0, body });
        }, reject);
      });
      outgoing.end(call.body);
    });
  }
}

async function readBody(incoming: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}
