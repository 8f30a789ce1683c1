import {
  CALL_VALIDITY_MS,
  type LeaseRenewalOrder,
  type PaceOrder,
  type RunOrder,
  type StartOrder,
  type TargetAddress,
} from '@currantgap/execution';
import { RemoteClock } from '@currantgap/tasks';
import type { Duplex } from 'node:stream';
import { HEARTBEAT_MS } from './forwarder.ts';
import type { ForwarderInfo } from './handshake.ts';
import { LineChannel } from './line-channel.ts';
import {
  CallKind,
  decodeHeartbeat,
  decodeResult,
  encodeWithdrawal,
  type WireResult,
} from './messages.ts';
import { getJobId, SpecCache } from './spec-cache.ts';

/** Milliseconds without a line after which a forwarder counts as failed: a few heartbeats. */
const SILENCE_MS = 800;
/** Milliseconds after which a call is given up although its forwarder is alive. */
const RESULT_TIMEOUT_MS = 4_000;

/** Options of a connection. */
export interface ForwarderConnectionOptions {
  readonly info: ForwarderInfo;
  readonly socket: Duplex;
  /** Bytes that were received before the connection was accepted. */
  readonly head: Buffer;
  readonly onClosed: (reason: string) => void;
}

/** A call that waits for its result. */
interface PendingCall {
  /** Monotonic time at which the call is given up, in milliseconds. */
  readonly deadline: number;
  readonly resolve: (result: WireResult | undefined) => void;
}

/** The owner's end of the connection to one forwarder. */
export class ForwarderConnection {
  readonly info: ForwarderInfo;
  readonly #channel: LineChannel;
  readonly #specs = new SpecCache();
  /** The forwarder's boot clock. */
  readonly #clock = new RemoteClock();
  readonly #pending = new Map<number, PendingCall>();
  #lastCall = 0;

  constructor({ info, socket, head, onClosed }: ForwarderConnectionOptions) {
    this.info = info;
    this.#clock.record(info.clockMs, performance.now());
    this.#channel = new LineChannel({
      socket,
      head,
      onValue: (value) => {
        const clockMs = decodeHeartbeat(value);
        if (clockMs !== undefined) this.#clock.record(clockMs, performance.now());
        this.#applyResult(value);
      },
      onClosed: (reason) => {
        onClosed(reason);
        this.#abandonCalls();
      },
    });
    this.#channel.send({});
  }

  get isClosed(): boolean {
    return this.#channel.isClosed;
  }

  /** Whether new calls should be made through this forwarder. */
  get isUsable(): boolean {
    return !this.#channel.isClosed && !this.#channel.isCongested;
  }

  /** Starts a run; undefined if the outcome is not known. `signal` gives the call up. */
  async start(
    target: TargetAddress,
    order: StartOrder,
    signal?: AbortSignal,
  ): Promise<WireResult | undefined> {
    const { spec, ...rest } = order;
    const jobId = getJobId(order.task);
    const isSpecKnown = this.#specs.has(jobId);
    if (!isSpecKnown) this.#specs.add(jobId, spec);
    const deadline = Math.round(order.deadline);
    const sent = { ...rest, deadline, sendBefore: this.#computeSendBefore() };
    const result = this.#send(target, CallKind.Start, isSpecKnown ? sent : { ...sent, spec });
    const call = this.#lastCall;
    signal?.addEventListener('abort', () => {
      if (this.#pending.has(call)) this.#channel.send(encodeWithdrawal(call));
    });
    return result;
  }

  /** Renews the leases on a target; undefined if there was no result. */
  async renewLeases(
    target: TargetAddress,
    order: LeaseRenewalOrder,
  ): Promise<WireResult | undefined> {
    const sent = { ...order, sendBefore: this.#computeSendBefore() };
    return this.#send(target, CallKind.Renew, sent);
  }

  /** Makes a call that means the same at any time; undefined if there was no result. */
  async sendOrder(
    target: TargetAddress,
    kind: CallKind.Stop | CallKind.Pace,
    order: RunOrder | PaceOrder,
  ): Promise<WireResult | undefined> {
    return this.#send(target, kind, order);
  }

  /**
   * Sends a heartbeat if one is due and gives up calls that are overdue. Closes the connection if the
   * forwarder is silent, unless `canJudge` is false because data may still be unread.
   */
  check(now: number, canJudge: boolean): void {
    if (canJudge && now - this.#channel.receivedAt > SILENCE_MS) {
      this.close('the forwarder is silent');
      return;
    }
    if (now - this.#channel.sentAt > HEARTBEAT_MS) this.#channel.send({});
    for (const [call, { deadline, resolve }] of this.#pending) {
      if (now < deadline) continue;
      this.#pending.delete(call);
      resolve(undefined);
    }
  }

  /** Sends an announcement, unless so much waits to be sent that it would arrive too late. */
  announce(announcement: object): void {
    if (this.isUsable) this.#channel.send(announcement);
  }

  /** Closes the connection; calls in flight get no result. */
  close(reason: string): void {
    this.#channel.close(reason);
  }

  /** Computes until when the forwarder may send a call to its target, on its own clock. */
  #computeSendBefore(): number {
    return this.#clock.computeRemoteTime(performance.now()) + CALL_VALIDITY_MS;
  }

  async #send(
    target: TargetAddress,
    kind: CallKind,
    order: object,
  ): Promise<WireResult | undefined> {
    this.#lastCall += 1;
    const call = this.#lastCall;
    this.#channel.send({ call, kind, target: { id: target.id, address: target.address }, order });
    return new Promise((resolve) => {
      this.#pending.set(call, { deadline: performance.now() + RESULT_TIMEOUT_MS, resolve });
    });
  }

  #applyResult(value: unknown): void {
    const result = decodeResult(value);
    if (result === undefined) return;
    const pending = this.#pending.get(result.call);
    this.#pending.delete(result.call);
    pending?.resolve(result);
  }

  #abandonCalls(): void {
    const abandoned = [...this.#pending.values()];
    this.#pending.clear();
    for (const { resolve } of abandoned) resolve(undefined);
  }
}
