import { REQUEST_ID_HEADER } from '@currantgap/model';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { LABEL_HEADER, RunLog, TEAM_HEADER, type Run } from './run-log.ts';
import { readText, sendJson, StandinServer } from './http-server.ts';

/** Ways in which a target stand-in misbehaves. */
export enum TargetFailure {
  None = 'none',
  /** Answers at once with an error. */
  FastError = 'fast-error',
  /** Accepts and never answers. */
  Silent = 'silent',
  /** Ends the answer before its stated length. */
  Truncated = 'truncated',
  /** Answers with the id of another request. */
  Crossed = 'crossed',
  /** Runs the request and closes the connection without an answer. */
  Dropped = 'dropped',
}

/** Options of a target stand-in. */
export interface TargetOptions {
  /** Requests it runs at once; more are refused. @default 8 */
  readonly slots?: number;
  /** Milliseconds a request runs. @default 5 */
  readonly runMs?: number;
  readonly vm?: string;
  /** Log that the targets of a fleet share. */
  readonly log?: RunLog;
}

const OK = 200;
const ERROR = 500;
const BUSY = 503;
const DEFAULT_SLOTS = 8;
const DEFAULT_RUN_MS = 5;
/** Header by which a caller sets how long the target runs its request. */
export const RUN_HEADER = 'standin-run-ms';

/** A target: runs requests in slots and keeps a log of what ran. */
export class TargetServer extends StandinServer {
  readonly #slots: number;
  readonly #runMs: number;
  #running = 0;
  failure = TargetFailure.None;
  maximumRunning = 0;
  overflows = 0;
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
      this.overflows += 1;
      response.setHeader('currantgap-outcome', 'not-run');
      response.setHeader(REQUEST_ID_HEADER, id);
      sendJson(response, BUSY, { error: 'no slot' });
      return;
    }
    await this.#run(request, id);
    this.#sendAnswer(response, id, body);
  }

  async #run(request: IncomingMessage, id: string): Promise<void> {
    const run: Run = {
      id,
      vm: this.#vm,
      team: String(request.headers[TEAM_HEADER] ?? ''),
      label: String(request.headers[LABEL_HEADER] ?? ''),
      startedAt: performance.now(),
    };
    this.#log.start(run);
    this.#running += 1;
    this.maximumRunning = Math.max(this.maximumRunning, this.#running);
    const runMs = Number(request.headers[RUN_HEADER] ?? this.#runMs);
    await new Promise((resolve) => setTimeout(resolve, runMs));
    this.#running -= 1;
    this.#log.finish(run);
  }

  #sendAnswer(response: ServerResponse, id: string, body: string): void {
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
