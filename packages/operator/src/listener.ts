import { FaultKind, createFault, type Fault, describeError } from '@currantgap/model';
import { isSameSecret } from '@currantgap/environment';
import { listenOn } from '@currantgap/tasks';
import type { Logger, Metrics } from '@currantgap/telemetry';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { err, type Result } from 'neverthrow';
import { OperatorPath, parsePath } from './api.ts';
import type { OperatorService } from './service.ts';

/** Options of the operator listener. */
export interface OperatorListenerOptions {
  readonly service: OperatorService;
  readonly key: string;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Whether this process is running and has not begun to stop. */
  readonly isHealthy: () => boolean;
  /** Whether this entry may start work at the moment. */
  readonly isReady: () => boolean;
}

const OK = 200;
const UNAVAILABLE = 503;
const MAXIMUM_BODY_BYTES = 4_194_304;
const STATUS_BY_KIND: Partial<Record<FaultKind, number>> = {
  [FaultKind.Unauthorised]: 401,
  [FaultKind.NotFound]: 404,
  [FaultKind.Conflict]: 409,
  [FaultKind.Unavailable]: 503,
  [FaultKind.OutcomeUnknown]: 502,
};
const BAD_REQUEST = 400;

/** Serves the operator interface, the health checks of the load balancer and the metrics. */
export class OperatorListener {
  readonly #options: OperatorListenerOptions;
  readonly #server: Server;

  constructor(options: OperatorListenerOptions) {
    this.#options = options;
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch((error: unknown) => {
        const reason = describeError(error);
        options.logger.writeError('operator request failed', { reason });
        response.destroy();
      });
    });
  }

  /** Listens on an address and resolves to the port. Rejects when the address is in use. */
  async listen(host: string, port: number): Promise<number> {
    return listenOn(this.#server, host, port);
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { isHealthy, isReady, metrics, service } = this.#options;
    const url = new URL(request.url ?? '/', 'http://entry');
    switch (parsePath(url.pathname)) {
      case OperatorPath.Health:
        sendText(response, isHealthy() ? OK : UNAVAILABLE, isHealthy() ? 'ok' : 'stopping');
        return;
      case OperatorPath.Ready:
        sendText(response, isReady() ? OK : UNAVAILABLE, isReady() ? 'ok' : 'not ready');
        return;
      case OperatorPath.Metrics:
        sendText(response, OK, await metrics.registry.metrics());
        return;
      default: {
        const result = this.#isAuthorised(request)
          ? await service.handle(url, await readJson(request))
          : err(createKeyFault());
        sendResult(response, result);
      }
    }
  }

  #isAuthorised(request: IncomingMessage): boolean {
    return isSameSecret(request.headers.authorization ?? '', `Bearer ${this.#options.key}`);
  }
}

/** Reads a JSON body; undefined if it is empty or not valid JSON. Throws if it is too large. */
async function readJson(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const data of request) {
    const chunk = data as Buffer;
    bytes += chunk.length;
    if (bytes > MAXIMUM_BODY_BYTES) throw new Error('the body of an operator request is too large');
    chunks.push(chunk);
  }
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
  } catch {
    return undefined;
  }
}

function sendResult(response: ServerResponse, result: Result<unknown, Fault>): void {
  if (result.isOk()) {
    sendText(response, OK, JSON.stringify(result.value), 'application/json');
    return;
  }
  const { kind, message, remedy } = result.error;
  const problem = { type: `urn:currantgap:${kind}`, title: message, detail: remedy };
  const status = STATUS_BY_KIND[kind] ?? BAD_REQUEST;
  sendText(response, status, JSON.stringify(problem), 'application/problem+json');
}

function sendText(
  response: ServerResponse,
  status: number,
  text: string,
  type = 'text/plain',
): void {
  response.writeHead(status, { 'content-type': type, 'content-length': Buffer.byteLength(text) });
  response.end(text);
}

function createKeyFault(): Fault {
  return createFault(
    FaultKind.Unauthorised,
    'The operator key is missing or wrong.',
    'Set CURRANTGAP_OPERATOR_KEY to keys.operator of the entry settings.',
  );
}
