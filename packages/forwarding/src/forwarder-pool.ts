import type { AdmissionEvidence } from '@currantgap/admission';
import type { LeaseRenewalFault } from '@currantgap/execution';
import {
  CALL_VALIDITY_MS,
  OrderOutcome,
  StartOutcome,
  TargetPort,
  type LeaseRenewalOrder,
  type PaceOrder,
  type PerishableOrder,
  type RunOrder,
  type StartOrder,
  type TargetAddress,
  type TargetReport,
} from '@currantgap/execution';
import type { BootClock } from '@currantgap/tasks';
import type { Logger } from '@currantgap/telemetry';
import type { Result } from 'neverthrow';
import type { Duplex } from 'node:stream';
import { chooseForwarder, sortSuccessors } from './choice.ts';
import { ForwarderConnection } from './forwarder-connection.ts';
import type { ForwarderInfo } from './handshake.ts';
import {
  CallKind,
  decodeOrderOutcome,
  decodeRenewal,
  decodeStartOutcome,
  encodeAnnouncement,
  encodeRelease,
  type WireResult,
} from './messages.ts';

/** Milliseconds between checks for forwarders that have fallen silent. */
const CHECK_INTERVAL_MS = 100;
/** Milliseconds by which a check may be late; after a longer pause, data may still be unread. */
const MAXIMUM_CHECK_DELAY_MS = 200;
/** Number of successors that are named to contenders. */
const SUCCESSOR_COUNT = 3;

/** Options of a pool. */
export interface ForwarderPoolOptions {
  /** Epoch of the owner's term. */
  readonly epoch: number;
  /** Makes the calls of targets that no forwarder is available for. */
  readonly local: TargetPort;
  /** Clock by which calls expire; `local` goes by the same. */
  readonly clock: BootClock;
  /** Data centre of this node. */
  readonly dataCentre: string;
  readonly logger: Logger;
}

/**
 * Makes the owner's calls through forwarders: each target is assigned to one in its data centre, and
 * to another one when that fails.
 */
export class ForwarderPool extends TargetPort {
  readonly #options: ForwarderPoolOptions;
  readonly #connections = new Map<string, ForwarderConnection>();
  /** Forwarder of each target; undefined if this node makes the calls itself. */
  readonly #assigned = new Map<string, ForwarderConnection | undefined>();
  readonly #timer: NodeJS.Timeout;
  #checkedAt = performance.now();
  /** Whether a forwarder has joined since the last check, so that some targets should change theirs. */
  #hasJoined = false;

  constructor(options: ForwarderPoolOptions) {
    super();
    this.#options = options;
    this.#timer = setInterval(() => {
      this.#check();
    }, CHECK_INTERVAL_MS);
  }

  /** Epoch of the owner's term; forwarders of another owner are refused. */
  get epoch(): number {
    return this.#options.epoch;
  }

  /** Number of connected forwarders. */
  get size(): number {
    return this.#connections.size;
  }

  /** Accepts a connection of a forwarder; an earlier one of the same node is closed. */
  accept(info: ForwarderInfo, socket: Duplex, head: Buffer): void {
    this.#connections.get(info.node)?.close('the node has connected again');
    const connection = new ForwarderConnection({
      info,
      socket,
      head,
      onClosed: (reason) => {
        if (this.#connections.get(info.node) === connection) this.#connections.delete(info.node);
        this.#options.logger.writeInfo('forwarder lost', { forwarder: info.node, reason });
      },
    });
    this.#connections.set(info.node, connection);
    this.#hasJoined = true;
    const { node, dataCentre, cores } = info;
    this.#options.logger.writeInfo('forwarder joined', { forwarder: node, dataCentre, cores });
  }

  /** Lists the nodes that should take over after this one, the most suitable one first. */
  listSuccessors(): readonly string[] {
    const infos = [...this.#connections.values()].map(({ info }) => info);
    return sortSuccessors(infos, this.#options.dataCentre).slice(0, SUCCESSOR_COUNT);
  }

  /** Announces the owner's evidence about contention to all connected nodes. */
  announce(evidence: AdmissionEvidence): void {
    const announcement = encodeAnnouncement(evidence);
    for (const connection of this.#connections.values()) connection.announce(announcement);
  }

  /** Tells all connected nodes that the lease was released, so that they look for the new owner. */
  announceRelease(): void {
    const release = encodeRelease();
    for (const connection of this.#connections.values()) connection.announce(release);
  }

  /** Closes all connections; calls in flight get no answer. */
  close(): void {
    clearInterval(this.#timer);
    for (const connection of [...this.#connections.values()]) {
      connection.close('this node no longer owns the fleet');
    }
  }

  async start(
    target: TargetAddress,
    order: StartOrder,
    signal?: AbortSignal,
  ): Promise<StartOutcome> {
    const connection = this.#find(target);
    if (connection === undefined)
      return this.#options.local.start(target, this.#addSendLimit(order), signal);
    const result = await connection.start(target, order, signal);
    return result === undefined ? StartOutcome.Unknown : decodeStartOutcome(result);
  }

  async stop(target: TargetAddress, order: RunOrder): Promise<OrderOutcome> {
    const result = await this.#sendRepeatably(target, CallKind.Stop, order);
    if (result === LOCAL) return this.#options.local.stop(target, order);
    return result === undefined ? OrderOutcome.Unknown : decodeOrderOutcome(result);
  }

  async setPace(target: TargetAddress, order: PaceOrder): Promise<OrderOutcome> {
    const result = await this.#sendRepeatably(target, CallKind.Pace, order);
    if (result === LOCAL) return this.#options.local.setPace(target, order);
    return result === undefined ? OrderOutcome.Unknown : decodeOrderOutcome(result);
  }

  async renewLeases(
    target: TargetAddress,
    order: LeaseRenewalOrder,
  ): Promise<Result<TargetReport, LeaseRenewalFault>> {
    const connection = this.#find(target);
    if (connection === undefined) return this.#renewLocally(target, order);
    const result = await connection.renewLeases(target, order);
    if (result !== undefined || !connection.isClosed) return decodeRenewal(result ?? { call: 0 });
    // Sent again, a grant or an acknowledgement would arrive later than the owner expects.
    const request = { ...order, acknowledgedThrough: 0, deadline: undefined };
    const other = this.#find(target);
    if (other === undefined) return this.#renewLocally(target, request);
    return decodeRenewal((await other.renewLeases(target, request)) ?? { call: 0 });
  }

  async #renewLocally(
    target: TargetAddress,
    order: LeaseRenewalOrder,
  ): Promise<Result<TargetReport, LeaseRenewalFault>> {
    return this.#options.local.renewLeases(target, this.#addSendLimit(order));
  }

  /** Adds until when this node may send the order of a call that it makes itself. */
  #addSendLimit<T extends PerishableOrder>(order: T): T {
    return { ...order, sendBefore: this.#options.clock.now + CALL_VALIDITY_MS };
  }

  /** Makes a call that may safely be made twice: if its forwarder is lost, another one makes it. */
  async #sendRepeatably(
    target: TargetAddress,
    kind: CallKind.Stop | CallKind.Pace,
    order: RunOrder | PaceOrder,
  ): Promise<WireResult | typeof LOCAL | undefined> {
    const connection = this.#find(target);
    if (connection === undefined) return LOCAL;
    const result = await connection.sendOrder(target, kind, order);
    if (result !== undefined || !connection.isClosed) return result;
    const other = this.#find(target);
    return other === undefined ? LOCAL : other.sendOrder(target, kind, order);
  }

  #find(target: TargetAddress): ForwarderConnection | undefined {
    const { id } = target;
    const known = this.#assigned.get(id);
    if (known?.isUsable === true) return known;
    if (known === undefined && this.#assigned.has(id)) return undefined;
    const usable = [...this.#connections.values()].filter(({ isUsable }) => isUsable);
    const chosen = chooseForwarder(usable, target, this.#options.dataCentre);
    this.#assigned.set(id, chosen);
    return chosen;
  }

  #check(): void {
    const now = performance.now();
    const delayMs = now - this.#checkedAt - CHECK_INTERVAL_MS;
    this.#checkedAt = now;
    if (this.#hasJoined) this.#assigned.clear();
    this.#hasJoined = false;
    for (const connection of [...this.#connections.values()]) {
      connection.check(now, delayMs <= MAXIMUM_CHECK_DELAY_MS);
    }
  }
}

/** Marks a call that this node has to make itself. */
const LOCAL = Symbol('local');
