import { REQUEST_ID_HEADER } from '@currantgap/model';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { LABEL_HEADER, RunLog, TEAM_HEADER, type Run } from './run-log.ts';
import { readText, sendJson, StandinServer } from './http-server.ts';

/** Failures that the target stand-in simulates. */
export enum TargetFailure {
  None = 'none',
  /** Responds immediately with an error. */
  FastError = 'fast-error',
  /** Runs the request and never responds. */
  Silent = 'silent',
  /** Closes the connection before the announced length of the response is sent. */
  Truncated = 'truncated',
  /** Responds with the id of another request. */
  Crossed = 'crossed',
  /** Runs the request and closes the connection without a response. */
  Dropped = 'dropped',
}

/** Options of a target stand-in. */
export interface TargetOptions {
  /** Number of requests that may run concurrently; further ones are refused. @default 8 */
  readonly slots?: number;
  /** Milliseconds for which a request runs. @default 5 */
  readonly runMs?: number;
  /** Name of the VM on which the target runs. */
  readonly vm?: string;
  /** Run log that the targets of a fleet share. */
  readonly log?: RunLog;
}

const OK = 200;
const ERROR = 500;
const BUSY = 503;
const DEFAULT_SLOTS = 8;
const DEFAULT_RUN_MS = 5;
/** Header in which a caller sets the run time of its request in milliseconds. */
export const RUN_MS_HEADER = 'standin-run-ms';

/** Stand-in of a target that runs requests in slots and records them in a run log. */
export class TargetServer extends StandinServer {
  readonly #slots: number;
  readonly #runMs: number;
  #running = 0;
  failure = TargetFailure.None;
  /** Highest number of requests that ran concurrently. */
  maximumRunning = 0;
  /** Number of requests refused because all slots were in use. */
  refusedCount = 0;
  readonly #vm: string;
  readonly #log: RunLog;

  constructor(options: TargetOptions = {}) {
    super();
    this.#slots = options.slots ?? DEFAULT_SLOTS;
    this.#runMs = options.runMs ?? DEFAULT_RUN_MS;
    this.#vm = options.vm ?? '';
    this.#log = options.log ?? new RunLog();
  }

  get running(): number {
    return this.#running;
  }

  protected async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readText(request);
    const id = String(request.headers[REQUEST_ID_HEADER] ?? '');
    if (this.failure === TargetFailure.FastError) {
      response.setHeader(REQUEST_ID_HEADER, id);
      sendJson(response, ERROR, { error: 'broken' });
      return;
    }
    if (this.#running >= this.#slots) {
      this.refusedCount += 1;
      response.setHeader('currantgap-outcome', 'not-run');
      response.setHeader(REQUEST_ID_HEADER, id);
      sendJson(response, BUSY, { error: 'no slot' });
      return;
    }
    await this.#run(request, id);
    this.#sendResponse(response, id, body);
  }

  async #run(request: IncomingMessage, id: string): Promise<void> {
    const run: Run = {
      id,
      vm: this.#vm,
      team: String(request.headers[TEAM_HEADER] ?? ''),
      label: String(request.headers[LABEL_HEADER] ?? ''),
      startedAt: performance.now(),
    };
    this.#log.recordStart(run);
    this.#running += 1;
    this.maximumRunning = Math.max(this.maximumRunning, this.#running);
    const runMs = Number(request.headers[RUN_MS_HEADER] ?? this.#runMs);
    await new Promise((resolve) => setTimeout(resolve, runMs));
    this.#running -= 1;
    this.#log.recordEnd(run);
  }

  #sendResponse(response: ServerResponse, id: string, body: string): void {
    if (this.failure === TargetFailure.Silent) return;
    if (this.failure === TargetFailure.Dropped) {
      response.destroy();
      return;
    }
    const text = JSON.stringify({ id, echo: body });
    response.writeHead(OK, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      [REQUEST_ID_HEADER]: this.failure === TargetFailure.Crossed ? 'another-request' : id,
    });
    if (this.failure !== TargetFailure.Truncated) {
      response.end(text);
      return;
    }
    response.write(text.slice(0, text.length / 2), () => response.destroy());
  }
}
