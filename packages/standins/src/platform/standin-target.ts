import type { IncomingMessage, ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { readText, sendJson, StandinServer } from '../http-server.ts';
import type { MemoryStore } from '../memory-store.ts';
import type { RunHistory } from './run-history.ts';
import { TARGET_CPU_MILLIS, TargetIncarnation, type TargetCall } from './target-incarnation.ts';

/** Failures that the stand-in target simulates. */
export enum StandinTargetFailure {
  None = 'none',
  /** Cut off from the nodes: calls are neither answered nor applied; active runs continue. */
  Silent = 'silent',
  /** Applies all calls and answers none. */
  Mute = 'mute',
  /** Applies starts and stops but loses their responses. */
  ResponseLost = 'answer-lost',
  /** Does not answer starts and applies them later. */
  Late = 'late',
  /** Fails every run that it starts. */
  Failing = 'failing',
}

/** A crash without a sign and the return under the same id and address. */
export interface TargetCrash {
  /** Milliseconds until the next incarnation begins. */
  readonly downMs: number;
  /**
   * Milliseconds from that moment until the calls that came before it are carried out; the calls take
   * the delays in turn. Without a delay they are lost.
   */
  readonly callDelaysMs: readonly number[];
}

const EXPIRY_CHECK_INTERVAL_MS = 10;
const REGISTRATION_RETRY_MS = 500;
const LATE_START_DELAY_MS = 1_500;
const MEMORY_MB = 65_536;

/**
 * Stand-in of a platform target. It runs tasks under a lease and refuses calls with a fencing token
 * lower than the highest one that the incarnation has seen.
 */
export class StandinTarget extends StandinServer {
  readonly id: string;
  failure = StandinTargetFailure.None;
  readonly #service: string;
  readonly #store: MemoryStore;
  readonly #runHistory: RunHistory;
  /** Undefined while the target is down. */
  #incarnation: TargetIncarnation | undefined;
  #callsWhileDown: TargetCall[] = [];
  #isClosed = false;
  readonly #timers: NodeJS.Timeout[] = [];

  constructor(id: string, service: string, store: MemoryStore, runHistory: RunHistory) {
    super();
    this.id = id;
    this.#service = service;
    this.#store = store;
    this.#runHistory = runHistory;
  }

  /** Starts listening, writes the registration row and starts to watch the lease. */
  async open(): Promise<void> {
    await this.listen();
    this.#beginIncarnation();
    this.#timers.push(
      setInterval(() => {
        this.#incarnation?.expireLease();
      }, EXPIRY_CHECK_INTERVAL_MS),
    );
  }

  override close(): void {
    this.#isClosed = true;
    for (const timer of this.#timers) clearTimeout(timer);
    this.#incarnation?.terminate('lapsed');
    super.close();
  }

  /** Ends all runs, answers nothing any more, and is removed from the registry, for good. */
  async leave(): Promise<void> {
    this.#isClosed = true;
    this.#incarnation?.terminate('left');
    this.#incarnation = undefined;
    const removals = [{ table: 'servers', part: '', key: this.id }];
    while ((await this.#store.commit({ conditions: [], puts: [], removals })).isErr())
      await sleep(REGISTRATION_RETRY_MS, undefined, { ref: false });
  }

  /**
   * Loses all runs and all state, reads calls without an answer, and begins the next incarnation, which
   * carries out these calls later without an answer. Has no effect while the target is down.
   *
   * @returns at the return, the number of calls that came before it
   */
  async crash({ downMs, callDelaysMs }: TargetCrash): Promise<number> {
    if (this.#incarnation === undefined) return 0;
    this.#incarnation.terminate('crashed');
    this.#incarnation = undefined;
    this.#callsWhileDown = [];
    await sleep(downMs, undefined, { ref: false });
    if (this.#isClosed) return 0;
    const calls = this.#callsWhileDown;
    for (const [index, call] of calls.entries()) {
      const delayMs = callDelaysMs[index % callDelaysMs.length];
      if (delayMs !== undefined) this.#applyLater(call, delayMs);
    }
    this.#beginIncarnation();
    return calls.length;
  }

  protected async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = JSON.parse(await readText(request)) as TargetCall['body'];
    const call = { path: request.url ?? '', body };
    if (this.failure === StandinTargetFailure.Silent) return;
    const incarnation = this.#incarnation;
    const isIntended = request.headers['x-target-instance'] === this.id;
    if (incarnation === undefined) {
      if (isIntended) this.#callsWhileDown.push(call);
      return;
    }
    if (!isIntended) {
      sendJson(response, 421, {});
      return;
    }
    if (call.path === '/api/run-start' && this.failure === StandinTargetFailure.Late) {
      this.#applyLater(call, LATE_START_DELAY_MS);
      return;
    }
    const reason = this.#apply(incarnation, call);
    if (this.failure === StandinTargetFailure.Mute) return;
    if (call.path === '/api/hold' && reason === undefined) {
      await incarnation.waitForEnd(Number(body.wait_ms ?? 0));
      if (this.#isReachable(incarnation)) sendJson(response, 200, incarnation.report());
    } else if (this.failure === StandinTargetFailure.ResponseLost) response.destroy();
    else if (reason === undefined) sendJson(response, 200, { clock_ms: incarnation.clockMs });
    else sendJson(response, 409, { clock_ms: incarnation.clockMs, reason });
  }

  #isReachable(incarnation: TargetIncarnation): boolean {
    const isCutOff = [StandinTargetFailure.Silent, StandinTargetFailure.Mute].includes(
      this.failure,
    );
    return this.#incarnation === incarnation && !isCutOff;
  }

  #apply(incarnation: TargetIncarnation, call: TargetCall): string | undefined {
    incarnation.isFailing = this.failure === StandinTargetFailure.Failing;
    return incarnation.apply(call);
  }

  /** Applies a call, without an answer, to the incarnation that there is after a delay. */
  #applyLater(call: TargetCall, delayMs: number): void {
    const timer = setTimeout(() => {
      if (this.#incarnation !== undefined) this.#apply(this.#incarnation, call);
    }, delayMs);
    this.#timers.push(timer);
  }

  #beginIncarnation(): void {
    const incarnation = new TargetIncarnation(this.id, this.#runHistory);
    this.#incarnation = incarnation;
    void this.#register(incarnation);
  }

  /** Writes the registration row. Heartbeats would only wake the change feed consumers. */
  async #register(incarnation: TargetIncarnation): Promise<void> {
    const registration = {
      service: this.#service,
      address: this.address,
      zone: 'riga-a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_remaining_ms: 0,
      capacity: { cpu: TARGET_CPU_MILLIS, mem_mb: MEMORY_MB, gpu: 0 },
      labels: ['a', 'r1'],
      sequence: 1,
      born: incarnation.bornAt,
    };
    const put = { table: 'servers', part: '', key: this.id, value: JSON.stringify(registration) };
    const transaction = { conditions: [], puts: [put], removals: [] };
    while (this.#incarnation === incarnation && (await this.#store.commit(transaction)).isErr())
      await sleep(REGISTRATION_RETRY_MS, undefined, { ref: false });
  }
}
