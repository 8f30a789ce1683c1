import { hasMajority, isMember, parseView, formatView } from '@currantgap/membership';
import { describeError, type Incarnation, type Instant } from '@currantgap/model';
import type { ExchangeMessage } from '@currantgap/peer';
import type { AllowanceReport } from '@currantgap/allowance';
import {
  decodeAnnouncement,
  decodeLoggedChange,
  encodeAnnouncement,
  encodeLoggedChange,
  encodeReport,
  type ExchangeInit,
} from './codec.ts';
import { useAllowances, type EntryCore } from './core.ts';
import type { Peer } from './peers.ts';

/** Exchanges heartbeats with every peer and renews the start gate once a majority confirms. */
export class Heartbeat {
  readonly #core: EntryCore;

  constructor(core: EntryCore) {
    this.#core = core;
  }

  /** Runs one heartbeat round with all peers, if this entry is a member of the view. */
  async run(): Promise<void> {
    const { current, peers, clock, gate } = this.#core;
    if (!current.isMember) return;
    const quorum = new Quorum(this.#core, clock.now);
    quorum.addSelf();
    await useAllowances(this.#core, (allowances) => {
      allowances.lend();
    });
    await Promise.all(peers.list().map((peer) => this.#send(peer, quorum)));
    this.#core.metrics.freshSeconds.set((gate.freshUntil - clock.now) / MS_PER_SECOND);
  }

  /** Exchanges a heartbeat with a single peer immediately. */
  async sendTo(incarnation: Incarnation): Promise<void> {
    const peer = this.#core.peers.find(incarnation);
    if (peer !== undefined) await this.#send(peer, new Quorum(this.#core, this.#core.clock.now));
  }

  async #send(peer: Peer, quorum: Quorum): Promise<void> {
    const { incarnation } = peer.member;
    const report = await useAllowances(this.#core, (allowances) =>
      allowances.buildReport(incarnation),
    );
    try {
      const response = await peer.client.calls.exchange(this.#buildMessage(report));
      await this.#receiveResponse(incarnation, report, response);
      quorum.addResponse(response);
    } catch (error) {
      this.#core.logger.createChild({ peer: peer.member.name }).writeInfo('heartbeat failed', {
        reason: describeError(error),
      });
    }
  }

  #buildMessage(report: AllowanceReport): ExchangeInit {
    const { current, configuration, gate } = this.#core;
    return {
      ...encodeReport(report, configuration.state),
      incarnation: current.incarnation,
      epoch: current.view.epoch,
      vouches: false,
      announcements: gate.listAnnouncements().map((item) => encodeAnnouncement(item)),
    };
  }

  async #receiveResponse(
    recipient: Incarnation,
    report: AllowanceReport,
    response: ExchangeMessage,
  ): Promise<void> {
    const { current, peers, configuration, gate } = this.#core;
    if (response.view !== '') current.applyIfNewer(parseView(response.view));
    for (const message of response.announcements) gate.announce(decodeAnnouncement(message));
    await configuration.apply(response.changes.map((message) => decodeLoggedChange(message)));
    if (response.incarnation !== recipient || !isMember(current.view, recipient)) return;
    peers.recordContact(recipient);
    await useAllowances(this.#core, (allowances) => {
      allowances.recordSent(recipient, report);
      allowances.acknowledge(recipient, response.acknowledged);
    });
  }
}

const MS_PER_SECOND = 1_000;

/**
 * Collects the confirmations of one heartbeat round. Once a majority of the view has confirmed in
 * the current epoch, renews the start gate.
 */
class Quorum {
  readonly #core: EntryCore;
  readonly #sentAt: Instant;
  readonly #confirmedBy = new Set<Incarnation>();

  constructor(core: EntryCore, sentAt: Instant) {
    this.#core = core;
    this.#sentAt = sentAt;
  }

  addSelf(): void {
    const { current, configuration } = this.#core;
    if (!current.canConfirm(configuration.state.sequence)) return;
    this.#confirmedBy.add(current.incarnation);
    this.#renew();
  }

  /** Adds a response whose announcements and changes have already been applied here. */
  addResponse(response: ExchangeMessage): void {
    const { current, configuration } = this.#core;
    const { sequence } = configuration.state;
    if (!response.vouches || response.epoch !== current.view.epoch) return;
    if (response.sequence > sequence || sequence < current.view.sequence) return;
    this.#confirmedBy.add(response.incarnation);
    this.#renew();
  }

  #renew(): void {
    const { current, gate } = this.#core;
    if (hasMajority(current.view, this.#confirmedBy)) gate.renewByPeers(this.#sentAt);
  }
}

/** Builds the response to a heartbeat, which acknowledges its transfers only if accepted. */
export function buildResponse(
  core: EntryCore,
  request: ExchangeMessage,
  hasAcceptedTransfers: boolean,
): ExchangeInit {
  const { current, configuration, gate } = core;
  const { sequence } = configuration.state;
  const isPeer = isMember(current.view, request.incarnation);
  return {
    incarnation: current.incarnation,
    epoch: current.view.epoch,
    sequence,
    vouches: isPeer && current.canConfirm(sequence),
    view: request.epoch < current.view.epoch ? formatView(current.view) : '',
    announcements: gate.listAnnouncements().map((item) => encodeAnnouncement(item)),
    changes: configuration
      .listChangesAfter(request.sequence)
      .map((change) => encodeLoggedChange(change)),
    acknowledged: hasAcceptedTransfers ? request.transfers : [],
  };
}
