import type { EvidenceHolder, Refusal, RefusalReason } from '@currantgap/admission';
import {
  encodeRefusal,
  ENDED_TABLE,
  getCancelKey,
  getIntakePart,
  INTAKE_TABLE,
  MAXIMUM_VALUE_BYTES,
} from '@currantgap/execution';
import { encodeStoredJob, estimateLedgerBytes } from '@currantgap/jobs';
import { createFault, FaultKind, type Fault, type Submission } from '@currantgap/model';
import type { Store } from '@currantgap/store';
import type { Logger } from '@currantgap/telemetry';
import type { Result } from 'neverthrow';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { AdmissionGate } from './admission-gate.ts';
import { readBody, sendResponse, type JsonResponse } from './exchange.ts';
import { IntakeWriter, WriteOutcome } from './intake-writer.ts';
import { QueueCounter } from './queue-counter.ts';
import { RequestRouter, type KnownConfiguration, type RoutedRequest } from './request-router.ts';
import {
  buildFaultResponse,
  buildNotFound,
  buildOverloaded,
  buildRefusal,
  buildUnavailable,
  buildWriteResponse,
} from './responses.ts';
import { LookupFault, OPEN, StateReader, type OwnerPort } from './state-reader.ts';
import type { StoreProbe } from './store-probe.ts';

/** Milliseconds a caller is assumed to wait if it sends no valid deadline header. */
const DEFAULT_TIMEOUT_MS = 3_000;
/** Milliseconds of the caller's timeout that are reserved for the response to reach it. */
const RESPONSE_MARGIN_MS = 100;

const SUBMISSION_ID_PATTERN = /^[0-9a-f]{16}$/i;

/** Receives one observation for each request that matched a route and was authenticated. */
export abstract class RequestObserver {
  /**
   * `team` is empty without a valid key; `durationMs` is the time from the arrival of the request
   * until its response is ready.
   */
  abstract observe(
    method: string,
    route: string,
    team: string,
    status: number,
    durationMs: number,
  ): void;

  /** Receives one observation for each submission that was refused for load. */
  abstract observeRefusal(route: string, team: string, reason: RefusalReason): void;
}

/** Options of the ingress handler. */
export interface IngressOptions {
  readonly store: Store;
  /** Finds out whether the store serves this node again. */
  readonly probe: StoreProbe;
  readonly logger: Logger;
  readonly owner: OwnerPort;
  readonly observer: RequestObserver;
  readonly configuration: KnownConfiguration;
  /** The owner's evidence about contention. */
  readonly evidence: EvidenceHolder;
  /** Decodes the body of a submission. */
  readonly decodeSubmission: (text: string) => Result<Submission, Fault>;
  /** Lower-case name of the header that carries the caller's timeout in milliseconds. */
  readonly deadlineHeader: string;
}

/** A routed request while it is handled. */
interface Call extends RoutedRequest {
  readonly request: IncomingMessage;
  /** Monotonic time (`performance.now()`) at which the request arrived, in milliseconds. */
  readonly receivedAt: number;
  /** Monotonic time by which the response is due, in milliseconds. */
  readonly deadline: number;
}

/** Handles HTTP requests of clients: accepts and cancels submissions and returns their state. */
export class IngressHandler {
  readonly #options: IngressOptions;
  readonly #writer: IntakeWriter;
  readonly #stateReader: StateReader;
  readonly #gate: AdmissionGate;
  readonly #queueCounter: QueueCounter;
  readonly #router: RequestRouter;
  #inFlight = 0;
  #isStopping = false;

  constructor(options: IngressOptions) {
    this.#options = options;
    this.#writer = new IntakeWriter(options.store, options.probe, options.logger);
    this.#stateReader = new StateReader(options.owner, options.store);
    this.#gate = new AdmissionGate(options.evidence);
    this.#queueCounter = new QueueCounter(options.owner, options.logger);
    this.#router = new RequestRouter(options.configuration, options.logger);
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /**
   * Whether submissions can be accepted, judged by the outcome of the last writes and probes and by the
   * age of the configuration.
   */
  get canAccept(): boolean {
    const { configuration } = this.#options;
    if (!configuration.canRefuse) configuration.requestRefresh();
    if (configuration.routes === undefined || !configuration.canAccept) return false;
    return !this.#writer.isCircuitOpen;
  }

  /** Closes each connection after its next response from now on; used at shutdown. */
  stop(): void {
    this.#isStopping = true;
  }

  /** Ends the probes of the store. */
  close(): void {
    this.#writer.close();
  }

  /** Handles one request and sends its response. */
  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const receivedAt = performance.now();
    this.#inFlight += 1;
    try {
      const content = await this.#handleRequest(request, receivedAt);
      sendResponse(response, content, this.#isStopping);
    } finally {
      this.#inFlight -= 1;
    }
  }

  async #handleRequest(request: IncomingMessage, receivedAt: number): Promise<JsonResponse> {
    const routed = this.#router.authenticate(request);
    if (routed.isErr()) return routed.error;
    const deadline = receivedAt + this.#readTimeoutMs(request) - RESPONSE_MARGIN_MS;
    const call = { ...routed.value, request, receivedAt, deadline };
    const content = await this.#dispatch(call);
    const durationMs = performance.now() - receivedAt;
    const method = request.method ?? '';
    this.#options.observer.observe(method, call.route.name, call.team, content.status, durationMs);
    return content;
  }

  async #dispatch(call: Call): Promise<JsonResponse> {
    const { request, suffix } = call;
    if (suffix === '' && request.method === 'GET') return this.#queueCounter.count(call.route.name);
    if (!SUBMISSION_ID_PATTERN.test(suffix)) {
      const remedy = 'Use 16 hexadecimal digits.';
      return buildRefusal(400, FaultKind.InvalidRequest, 'The path ends in no valid id.', remedy);
    }
    switch (request.method) {
      case 'POST':
        return this.#submit(call);
      case 'GET':
        return this.#getState(call);
      case 'DELETE':
        return this.#cancel(call);
      default:
        return buildRefusal(
          405,
          FaultKind.InvalidRequest,
          'Unknown method.',
          'Use POST, GET or DELETE.',
        );
    }
  }

  async #submit(call: Call): Promise<JsonResponse> {
    const { bodyBytes } = call.configuration.limits;
    const body = await readBody(call.request, bodyBytes);
    if (body.isErr()) {
      const remedy = `Send a whole body of at most ${bodyBytes} bytes.`;
      return buildRefusal(413, FaultKind.InvalidRequest, `The body is ${body.error}.`, remedy);
    }
    const submission = this.#options.decodeSubmission(body.value);
    if (submission.isErr()) return buildFaultResponse(400, submission.error);
    const { route, suffix: id, team } = call;
    const part = getIntakePart(id);
    const request = { id, route, team, submission: submission.value };
    const refusal = this.#gate.decide(request, performance.now());
    if (refusal !== undefined) return this.#refuse(call, refusal);
    const job = { id, route: route.name, team, acceptedAt: Date.now() };
    const value = encodeStoredJob({ ...job, submission: submission.value });
    const tooLarge = this.#findTooLarge(submission.value, value);
    if (tooLarge !== undefined) return buildFaultResponse(413, tooLarge);
    const outcome = await this.#writer.write({
      row: { table: INTAKE_TABLE, part, key: id, value },
      absent: [INTAKE_TABLE, ENDED_TABLE].map((table) => ({ table, part, key: id })),
      replacesRefusalsThrough: this.#writer.findVersionBefore(call.receivedAt),
      deadline: call.deadline,
    });
    this.#reportOutcome('submission', call, outcome);
    if (outcome === WriteOutcome.Written) this.#gate.recordAccepted(id);
    return buildWriteResponse(outcome, 'The submission was not stored and will not run.');
  }

  /** Finds out whether the store cannot keep a submission or its progress, whatever its load. */
  #findTooLarge(submission: Submission, value: string): Fault | undefined {
    const { maximumValueBytes } = this.#options.store;
    const bytes = Buffer.byteLength(value);
    if (bytes > maximumValueBytes) {
      const remedy = `Shorten it by ${bytes - maximumValueBytes} bytes.`;
      return createFault(FaultKind.InvalidRequest, 'The submission is too long.', remedy);
    }
    if (estimateLedgerBytes(submission) <= MAXIMUM_VALUE_BYTES) return undefined;
    const remedy = 'Split it into several submissions.';
    return createFault(FaultKind.InvalidRequest, 'The submission has too many tasks.', remedy);
  }

  /**
   * Refuses a submission for load. The refusal is stored, unless the submission is, so that a write
   * by another node which is still in flight cannot succeed after it.
   */
  async #refuse(call: Call, refusal: Refusal): Promise<JsonResponse> {
    const { suffix: id, route, team } = call;
    const { reason, retryAfterS, evidenceAgeMs, waitMs } = refusal;
    const part = getIntakePart(id);
    const outcome = await this.#writer.write({
      row: { table: ENDED_TABLE, part, key: id, value: encodeRefusal(Date.now()) },
      absent: [INTAKE_TABLE, ENDED_TABLE].map((table) => ({ table, part, key: id })),
      replacesRefusalsThrough: Infinity,
      deadline: call.deadline,
    });
    if (outcome !== WriteOutcome.Written) {
      this.#reportOutcome('submission', call, outcome);
      return buildWriteResponse(outcome, 'The submission was not stored and will not run.');
    }
    this.#gate.recordRefused(id, retryAfterS, performance.now());
    this.#options.observer.observeRefusal(route.name, team, reason);
    this.#options.logger.writeInfo('submission refused', {
      request: id,
      route: route.name,
      team,
      reason,
      waitMs: Math.round(waitMs),
      evidenceAgeMs: Math.round(evidenceAgeMs),
      retryAfterS,
      tookMs: Math.round(performance.now() - call.receivedAt),
    });
    return buildOverloaded(retryAfterS);
  }

  async #getState(call: Call): Promise<JsonResponse> {
    const state = await this.#stateReader.findState(call.suffix);
    if (state === LookupFault.Unavailable) return buildUnavailable('The state cannot be read now.');
    if (state === LookupFault.NotFound) return buildNotFound();
    return { status: 200, body: { state } };
  }

  async #cancel(call: Call): Promise<JsonResponse> {
    const id = call.suffix;
    const storage = await this.#stateReader.findStorage(id);
    if (storage === LookupFault.Unavailable) return buildUnavailable('The cancel was not stored.');
    if (storage === LookupFault.NotFound) return buildNotFound();
    if (storage !== OPEN) return { status: 200, body: { state: storage } };
    const outcome = await this.#writer.write({
      row: { table: INTAKE_TABLE, part: getIntakePart(id), key: getCancelKey(id), value: '' },
      absent: [],
      deadline: call.deadline,
    });
    this.#reportOutcome('cancel', call, outcome);
    return buildWriteResponse(outcome, 'The cancel was not stored.');
  }

  #readTimeoutMs(request: IncomingMessage): number {
    const value = Number(request.headers[this.#options.deadlineHeader]);
    return Number.isFinite(value) && value > 0 ? value : DEFAULT_TIMEOUT_MS;
  }

  #reportOutcome(operation: string, call: Call, outcome: WriteOutcome): void {
    const { route, team, suffix, receivedAt } = call;
    this.#options.logger.writeInfo(`${operation} ${outcome}`, {
      request: suffix,
      route: route.name,
      team,
      configuration: call.configuration.version,
      configurationAgeMs: this.#options.configuration.ageMs,
      tookMs: Math.round(performance.now() - receivedAt),
    });
  }
}
