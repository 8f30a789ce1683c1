import {
  Access,
  hashKey,
  type EnvironmentState,
  type Service,
  type Team,
} from '@currantgap/environment';
import type { RowNames } from '@currantgap/membership';
import { FaultKind, Outcome, TIMEOUT_HEADER, createFault, type Fault } from '@currantgap/model';
import { listenOn } from '@currantgap/tasks';
import type { EntrySettings } from '@currantgap/settings';
import { randomUUID } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { readBody } from './body.ts';
import { CallerExchange, type ExchangeContext } from './caller-exchange.ts';
import { ClaimState, type Claim } from './claims.ts';
import { MessageKind } from './messages.ts';
import type { PendingRequest } from './pending-request.ts';
import { sendRefusal } from './refusal.ts';

/** Options of the caller listener. */
export interface CallerListenerOptions extends ExchangeContext {
  readonly limits: EntrySettings['limits'];
  readonly rows: RowNames;
  /** Gets the current configuration. */
  readonly getState: () => EnvironmentState;
  /** Whether the configuration is recent enough to start requests now. */
  readonly isFresh: () => boolean;
}

/** An authenticated and admitted request before its body is read. */
interface Admission {
  readonly team: Team;
  readonly service: Service;
  /** Hash of the key of the request; undefined if it came without a key to an open service. */
  readonly keyHash: string | undefined;
  readonly timeoutMs: number;
}

const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'PUT',
  'DELETE',
  'OPTIONS',
]);
const HEADERS_TIMEOUT_MS = 5_000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;
const MAXIMUM_HEADER_BYTES = 16_384;
const MAXIMUM_CONNECTIONS = 4_096;
const BEARER_PREFIX = 'Bearer ';

/** HTTP server for callers: admits their requests and posts them to the dispatcher. */
export class CallerListener {
  readonly #options: CallerListenerOptions;
  readonly #server: Server;
  #isStopping = false;
  /** Total bytes of the bodies of all requests in progress. */
  #heldBytes = 0;

  constructor(options: CallerListenerOptions) {
    this.#options = options;
    this.#server = createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES }, (request, response) => {
      void this.#handle(request, response);
    });
    this.#server.headersTimeout = HEADERS_TIMEOUT_MS;
    this.#server.requestTimeout = options.limits.maximumTimeoutMs;
    this.#server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    this.#server.maxConnections = MAXIMUM_CONNECTIONS;
  }

  /** Listens on an address and returns the bound port. */
  async listen(host: string, port: number): Promise<number> {
    return listenOn(this.#server, host, port);
  }

  /**
   * Closes idle connections, and the others after their current response, so that callers reconnect
   * to another entry.
   */
  drain(): void {
    this.#isStopping = true;
    this.#server.closeIdleConnections();
  }

  /** Stops accepting connections and closes idle ones. */
  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.#isStopping) response.setHeader('connection', 'close');
    const admission = this.#admit(request);
    if (admission.isErr()) {
      this.#refuse(request, response, admission.error);
      return;
    }
    const fault = this.#holdBody(request, response);
    if (fault !== undefined) {
      this.#refuse(request, response, fault);
      return;
    }
    const body = await readBody(request, this.#options.limits.bodyBytes);
    if (body.isErr()) {
      this.#refuse(request, response, body.error);
      return;
    }
    await this.#accept(request, response, admission.value, body.value);
  }

  /**
   * Counts the body towards the memory limit of this entry until the response is closed. Without a
   * content length, the maximum body size counts. Returns a fault when the limit would be exceeded.
   */
  #holdBody(request: IncomingMessage, response: ServerResponse): Fault | undefined {
    const { bodyBytes, heldBytes } = this.#options.limits;
    const bytes = Number(request.headers['content-length'] ?? bodyBytes);
    if (this.#heldBytes + bytes > heldBytes) return createMemoryFault();
    this.#heldBytes += bytes;
    response.once('close', () => {
      this.#heldBytes -= bytes;
    });
    return undefined;
  }

  async #accept(
    request: IncomingMessage,
    response: ServerResponse,
    admission: Admission,
    body: Buffer,
  ): Promise<void> {
    const { clock } = this.#options;
    const arrivedAt = clock.now;
    const claim = await this.#claimIdempotencyKey(request, admission);
    if (claim.isErr()) {
      sendRefusal(response, claim.error.fault, claim.error.outcome);
      return;
    }
    const pending: PendingRequest = {
      id: randomUUID(),
      team: admission.team.name,
      service: admission.service,
      keyHash: admission.keyHash,
      arrivedAt,
      deadline: arrivedAt + admission.timeoutMs,
      content: {
        method: request.method ?? 'GET',
        path: formatTargetPath(request.url ?? '/'),
        headers: request.headers,
        body,
      },
      isIdempotent: isIdempotent(request),
      handler: new CallerExchange(this.#options, response, claim.value),
      sendCount: 0,
      hasPossiblyRun: false,
      lastVm: undefined,
    };
    const isPosted = this.#options.dispatcher.post({
      kind: MessageKind.Arrive,
      request: pending,
      isRetry: false,
    });
    if (!isPosted) pending.handler.refuse(pending, createQueueFullFault(admission.team.name));
  }

  /** Runs all checks that do not need the body, before the body is read. */
  #admit(request: IncomingMessage): Result<Admission, Fault> {
    const state = this.#options.getState();
    const name = (request.url ?? '/').split(/[/?]/)[1] ?? '';
    const service = state.findService(name);
    if (service === undefined) return err(createUnknownServiceFault(name));
    return this.#authenticate(request, service, state).andThen(({ team, keyHash }) => {
      const timeoutMs = this.#parseTimeout(request);
      if (timeoutMs.isErr()) return err(timeoutMs.error);
      const fault = this.#checkCapacity(service, team, timeoutMs.value);
      if (fault !== undefined) return err(fault);
      return ok({ team, service, keyHash, timeoutMs: timeoutMs.value });
    });
  }

  #authenticate(
    request: IncomingMessage,
    service: Service,
    state: EnvironmentState,
  ): Result<Pick<Admission, 'team' | 'keyHash'>, Fault> {
    const { authorization } = request.headers;
    if (authorization === undefined && service.access === Access.Open) {
      const team = state.findOpenTeam();
      return team === undefined ? err(createInvalidKeyFault()) : ok({ team, keyHash: undefined });
    }
    if (authorization?.startsWith(BEARER_PREFIX) !== true) return err(createInvalidKeyFault());
    const keyHash = hashKey(authorization.slice(BEARER_PREFIX.length));
    const team = state.findTeamOfKey(keyHash);
    return team === undefined ? err(createInvalidKeyFault()) : ok({ team, keyHash });
  }

  #parseTimeout(request: IncomingMessage): Result<number, Fault> {
    const { defaultTimeoutMs, maximumTimeoutMs } = this.#options.limits;
    const header = request.headers[TIMEOUT_HEADER];
    if (header === undefined) return ok(defaultTimeoutMs);
    const timeoutMs = Number(header);
    if (Number.isInteger(timeoutMs) && timeoutMs > 0 && timeoutMs <= maximumTimeoutMs) {
      return ok(timeoutMs);
    }
    return err(
      createFault(
        FaultKind.InvalidRequest,
        `The header ${TIMEOUT_HEADER} is not a number of milliseconds.`,
        `Write a whole number from 1 to ${maximumTimeoutMs}.`,
      ),
    );
  }

  /** Returns a fault if the configuration is stale or the request would not start in time. */
  #checkCapacity(service: Service, team: Team, timeoutMs: number): Fault | undefined {
    const { dispatcher, limits, isFresh } = this.#options;
    if (!isFresh()) return createStaleFault();
    if (dispatcher.countWaiting(service.name, team.name) >= limits.queueLength) {
      return createQueueFullFault(team.name);
    }
    if (dispatcher.isWaitTooLong(service.name, team.name, timeoutMs)) {
      return createQueueFullFault(team.name);
    }
    return undefined;
  }

  /** Claims the idempotency key of a request, if it has one and its method is not idempotent. */
  async #claimIdempotencyKey(
    request: IncomingMessage,
    admission: Admission,
  ): Promise<Result<Claim | undefined, { fault: Fault; outcome: Outcome }>> {
    const key = request.headers['idempotency-key'];
    if (typeof key !== 'string' || IDEMPOTENT_METHODS.has(request.method ?? '')) {
      return ok(undefined);
    }
    const { rows, claims } = this.#options;
    const rowKey = rows.formatClaim(admission.service.name, admission.team.name, hashKey(key));
    const result = await claims.claim(rowKey);
    if (result.isErr()) return err({ fault: result.error, outcome: Outcome.NotRun });
    if ('claim' in result.value) return ok(result.value.claim);
    const hasRun = result.value.existingState === ClaimState.Ran;
    return err({ fault: createKeyReusedFault(), outcome: hasRun ? Outcome.Ran : Outcome.Unknown });
  }

  /** Refuses a request, and closes its connection if the body has not been read completely. */
  #refuse(request: IncomingMessage, response: ServerResponse, fault: Fault): void {
    this.#options.metrics.requests.inc({
      team: '',
      service: '',
      outcome: Outcome.NotRun,
      reason: fault.kind,
    });
    if (!request.complete) response.setHeader('connection', 'close');
    sendRefusal(response, fault, Outcome.NotRun);
  }
}

function isIdempotent(request: IncomingMessage): boolean {
  return IDEMPOTENT_METHODS.has(request.method ?? '');
}

/** Removes the service name, which is the first segment, from the path. */
function formatTargetPath(url: string): string {
  const rest = url.slice(1).replace(/^[^/?]*/, '');
  return rest.startsWith('/') ? rest : `/${rest}`;
}

function createUnknownServiceFault(name: string): Fault {
  return createFault(
    FaultKind.NotFound,
    `There is no service "${name}".`,
    'Begin the path with the name of a service, such as /kartes/.',
  );
}

function createInvalidKeyFault(): Fault {
  return createFault(
    FaultKind.Unauthorised,
    'The request carries no valid key of a team.',
    'Send "Authorization: Bearer KEY" with a key that an operator granted.',
  );
}

function createQueueFullFault(team: string): Fault {
  return createFault(
    FaultKind.Overloaded,
    `Team "${team}" has more waiting than could be answered in time.`,
    'Send the request again later, or with a longer timeout.',
  );
}

function createMemoryFault(): Fault {
  return createFault(
    FaultKind.Overloaded,
    'This entry holds as many request bodies as its memory allows.',
    'Send the request again later, or with a smaller body.',
  );
}

function createStaleFault(): Fault {
  return createFault(
    FaultKind.Unavailable,
    'This entry cannot learn of configuration changes at present and starts nothing.',
    'Send the request again; the balancer will choose another entry.',
  );
}

function createKeyReusedFault(): Fault {
  return createFault(
    FaultKind.Conflict,
    'A request with this idempotency key was accepted before.',
    'Read its outcome from the outcome header; use a new key for a new request.',
  );
}
