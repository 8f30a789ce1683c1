import type { AdmissionEvidence } from '@currantgap/admission';
import type { TargetPort } from '@currantgap/execution';
import { describeError } from '@currantgap/model';
import type { BootClock } from '@currantgap/tasks';
import type { Logger } from '@currantgap/telemetry';
import { request } from 'node:http';
import type { Duplex } from 'node:stream';
import { encodeHandshake, type ForwarderInfo } from './handshake.ts';
import { LineChannel } from './line-channel.ts';
import {
  CallKind,
  decodeAnnouncement,
  decodeCall,
  decodeWithdrawal,
  encodeHeartbeat,
  encodeRenewal,
  isRelease,
  type ForwardedCall,
} from './messages.ts';
import { getJobId, SpecCache } from './spec-cache.ts';

/** Milliseconds between checks of the connection and of who the owner is. */
const CHECK_INTERVAL_MS = 100;
/** Milliseconds without a line after which a heartbeat is sent. */
export const HEARTBEAT_MS = 200;
/** Milliseconds without a line from the owner after which the connection is given up. */
const OWNER_SILENCE_MS = 2_000;
/** Milliseconds after which an attempt to connect is given up. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Milliseconds between two attempts to connect; half of them are jitter. */
const RETRY_DELAY_MS = 400;

/** Where the owner accepts forwarders. */
export interface OwnerEndpoint {
  /** `host:port` of the owner's peer listener. */
  readonly address: string;
  readonly epoch: number;
}

/** Options of a forwarder. */
export interface ForwarderOptions {
  /** Makes the calls. */
  readonly targetPort: TargetPort;
  readonly logger: Logger;
  /** Describes this node. */
  readonly info: Omit<ForwarderInfo, 'epoch' | 'clockMs'>;
  /** Clock by which the calls expire; the port that makes them goes by the same. */
  readonly clock: BootClock;
  /** The owner; undefined if none is known or if this node is the owner. */
  readonly findOwner: () => OwnerEndpoint | undefined;
  /** Receives the owner's evidence about contention. */
  readonly onEvidence: (evidence: AdmissionEvidence) => void;
  /** Called when the owner has released its lease, or when the connection to it has ended. */
  readonly onOwnerLeaving: () => void;
}

/**
 * Makes calls to targets for the owner, so that neither the processor nor the link of a single node
 * bounds the number of targets. Keeps nothing but specifications: if it fails, the owner uses
 * another forwarder.
 */
export class Forwarder {
  readonly #options: ForwarderOptions;
  #channel: LineChannel | undefined;
  #owner: OwnerEndpoint | undefined;
  #specs = new SpecCache();
  /** Give up the starts in flight, by the ids of their calls. */
  #withdrawals = new Map<number, AbortController>();
  #isConnecting = false;
  #connectNotBefore = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: ForwarderOptions) {
    this.#options = options;
  }

  /** Connects to the current owner, now and after each change. */
  start(): void {
    this.#timer = setInterval(() => {
      this.#check();
    }, CHECK_INTERVAL_MS);
  }

  /** Whether there is a connection to the owner of an epoch. */
  isConnectedTo(epoch: number): boolean {
    return this.#channel !== undefined && this.#owner?.epoch === epoch;
  }

  /** Closes the connection; calls in flight are not answered. */
  stop(): void {
    clearInterval(this.#timer);
    this.#channel?.close('this node is stopping');
  }

  #check(): void {
    const owner = this.#options.findOwner();
    const channel = this.#channel;
    const now = performance.now();
    if (channel !== undefined) {
      if (owner?.epoch !== this.#owner?.epoch) channel.close('another node owns the fleet');
      else if (now - channel.receivedAt > OWNER_SILENCE_MS) channel.close('the owner is silent');
      else if (now - channel.sentAt > HEARTBEAT_MS) this.#sendHeartbeat(channel);
    }
    if (this.#channel !== undefined || owner === undefined || this.#isConnecting) return;
    if (now >= this.#connectNotBefore) this.#connect(owner);
  }

  #connect(owner: OwnerEndpoint): void {
    const { clock, logger, info } = this.#options;
    this.#isConnecting = true;
    this.#connectNotBefore = performance.now() + RETRY_DELAY_MS * (0.5 + Math.random() / 2);
    const separator = owner.address.lastIndexOf(':');
    const outgoing = request({
      host: owner.address.slice(0, separator),
      port: Number(owner.address.slice(separator + 1)),
      path: '/forwarders',
      headers: encodeHandshake({ ...info, epoch: owner.epoch, clockMs: clock.now }),
    });
    const timer = setTimeout(() => {
      outgoing.destroy(new Error(`no answer within ${CONNECT_TIMEOUT_MS} ms`));
    }, CONNECT_TIMEOUT_MS);
    const finish = (): void => {
      clearTimeout(timer);
      this.#isConnecting = false;
    };
    outgoing.on('upgrade', (_, socket, head) => {
      finish();
      this.#open(owner, socket, head);
    });
    outgoing.on('response', (response) => {
      finish();
      response.resume();
      outgoing.destroy();
    });
    outgoing.on('error', (error: unknown) => {
      finish();
      logger.writeInfo('owner not reached', { owner: owner.address, reason: describeError(error) });
    });
    outgoing.end();
  }

  #open(owner: OwnerEndpoint, socket: Duplex, head: Buffer): void {
    const { logger, onOwnerLeaving } = this.#options;
    this.#owner = owner;
    this.#specs = new SpecCache();
    this.#withdrawals = new Map();
    const channel = new LineChannel({
      socket,
      head,
      onValue: (value) => {
        this.#applyAnnouncement(value, owner);
        if (isRelease(value)) onOwnerLeaving();
        this.#withdrawals.get(decodeWithdrawal(value) ?? 0)?.abort();
        const call = decodeCall(value);
        if (call !== undefined) this.#handleCall(call, channel);
      },
      onClosed: (reason) => {
        if (this.#channel === channel) this.#channel = undefined;
        logger.writeInfo('forwarding ended', { epoch: owner.epoch, reason });
        onOwnerLeaving();
      },
    });
    this.#channel = channel;
    this.#sendHeartbeat(channel);
    logger.writeInfo('forwarding begun', { epoch: owner.epoch, owner: owner.address });
  }

  #sendHeartbeat(channel: LineChannel): void {
    channel.send(encodeHeartbeat(this.#options.clock.now));
  }

  /** Passes evidence on. Malformed evidence is skipped, because calls still depend on the channel. */
  #applyAnnouncement(value: unknown, owner: OwnerEndpoint): void {
    const evidence = decodeAnnouncement(value);
    if (evidence === undefined) return;
    const { logger, onEvidence } = this.#options;
    if (evidence.isErr()) {
      logger.writeError('admission evidence not decodable', { reason: evidence.error });
    } else if (evidence.value.epoch === owner.epoch) onEvidence(evidence.value);
  }

  #handleCall(forwarded: ForwardedCall, channel: LineChannel): void {
    const { targetPort } = this.#options;
    const { call, target } = forwarded;
    const answer = (outcome: string): void => {
      channel.send({ call, outcome });
    };
    switch (forwarded.kind) {
      case CallKind.Start:
        this.#start(forwarded, answer);
        return;
      case CallKind.Stop:
        void targetPort.stop(target, forwarded.order).then(answer);
        return;
      case CallKind.Pace:
        void targetPort.setPace(target, forwarded.order).then(answer);
        return;
      case CallKind.Renew:
        void targetPort.renewLeases(target, forwarded.order).then((result) => {
          channel.send(encodeRenewal(call, result));
        });
    }
  }

  #start(
    { call, target, order }: ForwardedCall & { kind: CallKind.Start },
    answer: (outcome: string) => void,
  ): void {
    const withdrawals = this.#withdrawals;
    const withdrawal = new AbortController();
    withdrawals.set(call, withdrawal);
    const start = this.#buildStartOrder(order);
    void this.#options.targetPort.start(target, start, withdrawal.signal).then((outcome) => {
      withdrawals.delete(call);
      answer(outcome);
    });
  }

  /** Adds the specification that an earlier call of the job brought. Throws if there was none. */
  #buildStartOrder(order: (ForwardedCall & { kind: CallKind.Start })['order']) {
    const jobId = getJobId(order.task);
    if (order.spec !== undefined) this.#specs.add(jobId, order.spec);
    const spec = this.#specs.find(jobId);
    if (spec === undefined) throw new TypeError(`the specification of job ${jobId} is missing`);
    return { ...order, ticket: order.ticket, spec };
  }
}
