import {
  FaultKind,
  OUTCOME_HEADER,
  Outcome,
  createFault,
  type Fault,
  type Instant,
} from '@currantgap/model';
import type { Vm } from '@currantgap/environment';
import type { RetryBudget } from '@currantgap/routing';
import type { Clock } from '@currantgap/tasks';
import type { Logger, Metrics } from '@currantgap/telemetry';
import type { ServerResponse } from 'node:http';
import type { Writable } from 'node:stream';
import { ResponseSink, type ResponseHead, type SendResult } from './target-response.ts';
import { ClaimState, type Claim, type ClaimStore } from './claims.ts';
import type { Dispatcher } from './dispatcher.ts';
import { MessageKind } from './messages.ts';
import { RequestHandler, SendStatus, type PendingRequest } from './pending-request.ts';
import { sendRefusal } from './refusal.ts';
import type { Relay } from './relay.ts';

/** Dependencies that the exchanges of an entry share. */
export interface ExchangeContext {
  readonly clock: Clock;
  readonly dispatcher: Dispatcher;
  readonly relay: Relay;
  readonly claims: ClaimStore;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Gets the retry budget of a service. */
  readonly getRetryBudget: (service: string) => RetryBudget;
}

const MS_PER_SECOND = 1_000;
/** Maximum number of sends of one request, including the first. */
const MAXIMUM_SENDS = 3;

/**
 * Handles one request of a caller: sends it to targets and responds exactly once, with the outcome
 * as far as it is known.
 */
export class CallerExchange extends RequestHandler {
  readonly #context: ExchangeContext;
  readonly #response: ServerResponse;
  readonly #claim: Claim | undefined;
  #isFinished = false;

  constructor(context: ExchangeContext, response: ServerResponse, claim: Claim | undefined) {
    super();
    this.#context = context;
    this.#response = response;
    this.#claim = claim;
  }

  get isAbandoned(): boolean {
    return this.#response.destroyed;
  }

  start(request: PendingRequest, vm: Vm, startedAt: Instant): void {
    if (request.sendCount === 1)
      this.#context.getRetryBudget(request.service.name).recordFirstSend();
    else this.#context.metrics.retries.inc({ service: request.service.name });
    void this.#run(request, vm, startedAt);
  }

  refuse(request: PendingRequest, fault: Fault): void {
    const outcome = request.hasPossiblyRun ? Outcome.Unknown : Outcome.NotRun;
    this.#finish(request, outcome, fault.kind);
    sendRefusal(this.#response, fault, outcome);
  }

  async #run(request: PendingRequest, vm: Vm, startedAt: Instant): Promise<void> {
    const { relay, dispatcher, clock } = this.#context;
    const timer = clock.schedule(request.deadline, () => {
      this.#refuseAtDeadline(request);
    });
    const result = await relay.send(request, vm, new CallerResponseSink(this.#response));
    timer.stop();
    if (result.status === SendStatus.Lost || result.status === SendStatus.Failed) {
      request.hasPossiblyRun = true;
    }
    const isRetried = this.#shouldRetry(request, result);
    if (isRetried) dispatcher.post({ kind: MessageKind.Arrive, request, isRetry: true });
    const runMs = clock.now - startedAt;
    const { status } = result;
    dispatcher.post({ kind: MessageKind.Finish, request, vm: vm.name, status, runMs });
    if (!isRetried && !this.#isFinished) this.#sendResponse(request, result);
  }

  /** Reports an unknown outcome at the deadline, since the target may still run the request. */
  #refuseAtDeadline(request: PendingRequest): void {
    if (this.#response.headersSent) return;
    request.hasPossiblyRun = true;
    this.refuse(request, createDeadlineFault());
  }

  /**
   * Whether to send the request again: it is idempotent or definitely did not run, the caller is
   * still waiting, and the maximum number of sends, the deadline and the retry budget allow it.
   */
  #shouldRetry(request: PendingRequest, result: SendResult): boolean {
    if (result.status === SendStatus.Answered || result.isStreamed === true) return false;
    if (this.#isFinished) return false;
    if (result.status !== SendStatus.NotRun && !request.isIdempotent) return false;
    if (request.sendCount >= MAXIMUM_SENDS || this.isAbandoned) return false;
    if (request.deadline <= this.#context.clock.now) return false;
    return this.#context.getRetryBudget(request.service.name).take();
  }

  /** Responds to the caller with the result of the last send, and records the outcome. */
  #sendResponse(request: PendingRequest, result: SendResult): void {
    if (result.isStreamed === true) {
      const isComplete = result.status !== SendStatus.Lost;
      this.#finish(request, isComplete ? Outcome.Ran : Outcome.Unknown, result.status);
      return;
    }
    if (result.response === undefined) {
      this.refuse(request, result.fault ?? createNoResponseFault());
      return;
    }
    const { status, headers, body } = result.response;
    this.#finish(request, Outcome.Ran, result.status);
    if (this.#response.destroyed) return;
    const isHead = request.content.method === 'HEAD';
    this.#response.writeHead(status, {
      ...headers,
      ...(isHead ? {} : { 'content-length': body.length }),
      [OUTCOME_HEADER]: Outcome.Ran,
    });
    this.#response.end(body);
  }

  /** Records the outcome in the metrics, the log and the claim of the idempotency key. */
  #finish(request: PendingRequest, outcome: Outcome, reason: string): void {
    this.#isFinished = true;
    const { metrics, logger, clock, claims } = this.#context;
    const labels = { team: request.team, service: request.service.name };
    const totalMs = clock.now - request.arrivedAt;
    metrics.requests.inc({ ...labels, outcome, reason });
    metrics.totalSeconds.observe(labels, totalMs / MS_PER_SECOND);
    if (this.#claim !== undefined) void claims.recordState(this.#claim, toClaimState(outcome));
    logger.writeInfo('request', {
      ...labels,
      requestId: request.id,
      outcome,
      reason,
      sends: request.sendCount,
      totalMs: Math.round(totalMs),
    });
  }
}

/** Streams a large response to the caller. */
class CallerResponseSink extends ResponseSink {
  readonly #response: ServerResponse;

  constructor(response: ServerResponse) {
    super();
    this.#response = response;
  }

  open(head: ResponseHead): Writable | undefined {
    if (this.#response.destroyed || this.#response.headersSent) return undefined;
    this.#response.writeHead(head.status, { ...head.headers, [OUTCOME_HEADER]: Outcome.Ran });
    return this.#response;
  }
}

function toClaimState(outcome: Outcome): ClaimState {
  switch (outcome) {
    case Outcome.Ran:
      return ClaimState.Ran;
    case Outcome.Unknown:
      return ClaimState.Unknown;
    case Outcome.NotRun:
      return ClaimState.Released;
  }
}

function createDeadlineFault(): Fault {
  return createFault(
    FaultKind.OutcomeUnknown,
    'The target had not answered by the deadline.',
    'Check whether the request took effect before sending it again.',
  );
}

function createNoResponseFault(): Fault {
  return createFault(
    FaultKind.OutcomeUnknown,
    'No whole answer came from the target.',
    'Check whether the request took effect before sending it again.',
  );
}
