import { OUTCOME_HEADER, TIMEOUT_HEADER } from '@currantgap/model';
import { Agent, request } from 'node:http';

/** A request that a stand-in caller sends. */
export interface CallerRequest {
  readonly port: number;
  readonly method?: string;
  readonly path: string;
  readonly key?: string;
  readonly body?: string;
  readonly timeoutMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
}

/** The response to a caller's request. */
export interface CallerResponse {
  /** HTTP status; 0 without a complete response. */
  readonly status: number;
  /** Value of the outcome header; empty without one. */
  readonly outcome: string;
  readonly body: string;
  readonly totalMs: number;
}

const MAXIMUM_SOCKETS = 1_024;

/** Sends requests as clients do, over keep-alive connections. */
export class Caller {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: MAXIMUM_SOCKETS });

  /** Sends a request. Never rejects: a connection error gives status 0. */
  async send(call: CallerRequest): Promise<CallerResponse> {
    const startedAt = performance.now();
    return new Promise((resolve) => {
      const finish = (status: number, outcome: string, body: string): void => {
        resolve({ status, outcome, body, totalMs: performance.now() - startedAt });
      };
      const outgoing = request(
        {
          agent: this.#agent,
          host: '127.0.0.1',
          port: call.port,
          method: call.method ?? 'POST',
          path: call.path,
          headers: createHeaders(call),
        },
        (incoming) => {
          const chunks: Buffer[] = [];
          incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
          incoming.on('error', () => {
            finish(0, '', '');
          });
          incoming.on('end', () => {
            const outcome = String(incoming.headers[OUTCOME_HEADER] ?? '');
            finish(incoming.statusCode ?? 0, outcome, Buffer.concat(chunks).toString('utf8'));
          });
        },
      );
      outgoing.on('error', () => {
        finish(0, '', '');
      });
      outgoing.end(call.body);
    });
  }

  /** Closes all connections. */
  close(): void {
    this.#agent.destroy();
  }
}

function createHeaders(call: CallerRequest): Record<string, string> {
  return {
    ...call.headers,
    ...(call.key === undefined ? {} : { authorization: `Bearer ${call.key}` }),
    ...(call.timeoutMs === undefined ? {} : { [TIMEOUT_HEADER]: String(call.timeoutMs) }),
    'content-length': String(Buffer.byteLength(call.body ?? '')),
  };
}
