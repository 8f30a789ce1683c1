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

/** Exchanges heartbeats with every peer and renews the start gate by a majority's answers. */
export class Heartbeat {
  readonly #core: EntryCore;

  constructor(core: EntryCore) {
    this.#core = core;
  }

  /** Runs one round. */
  async run(): Promise<void> {
    const { current, peers, clock, gate } = this.#core;
    if (!current.isSeated) return;
    const round = new VouchRound(this.#core, clock.now);
    round.addSelf();
    await useAllowances(this.#core, (allowances) => {
      allowances.lend();
    });
    await Promise.all(peers.list().map((peer) => this.#ask(peer, round)));
    this.#core.metrics.freshSeconds.set((gate.freshUntil - clock.now) / MS_PER_SECOND);
  }

  /** Exchanges with one peer at once. */
  async runWith(incarnation: Incarnation): Promise<void> {
    const peer = this.#core.peers.find(incarnation);
    if (peer !== undefined) await this.#ask(peer, new VouchRound(this.#core, this.#core.clock.now));
  }

  async #ask(peer: Peer, round: VouchRound): Promise<void> {
    const { incarnation } = peer.seat;
    const report = await useAllowances(this.#core, (allowances) =>
      allowances.buildReport(incarnation),
    );
    try {
      const answer = await peer.client.calls.exchange(this.#buildMessage(report));
      await this.#receive(incarnation, report, answer);
      round.add(answer);
    } catch (error) {
      this.#core.logger.createChild({ peer: peer.seat.name }).writeInfo('heartbeat failed', {
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

  async #receive(
    asked: Incarnation,
    report: AllowanceReport,
    answer: ExchangeMessage,
  ): Promise<void> {
    const { current, peers, configuration, gate } = this.#core;
    if (answer.view !== '') current.offer(parseView(answer.view));
    for (const message of answer.announcements) gate.announce(decodeAnnouncement(message));
    await configuration.apply(answer.changes.map((message) => decodeLoggedChange(message)));
    if (answer.incarnation !== asked || !isMember(current.view, asked)) return;
    peers.recordHeard(asked);
    await useAllowances(this.#core, (allowances) => {
      allowances.recordSent(asked, report);
      allowances.acknowledge(asked, answer.acknowledged);
    });
  }
}

const MS_PER_SECOND = 1_000;

/** The answers of one round: a majority under the present epoch renews the gate. */
class VouchRound {
  readonly #core: EntryCore;
  readonly #sentAt: Instant;
  readonly #supporters = new Set<Incarnation>();

  constructor(core: EntryCore, sentAt: Instant) {
    this.#core = core;
    this.#sentAt = sentAt;
  }

  addSelf(): void {
    const { current, configuration } = this.#core;
    if (!current.canVouch(configuration.state.sequence)) return;
    this.#supporters.add(current.incarnation);
    this.#renew();
  }

  /** Adds an answer whose announcements and changes have been taken over. */
  add(answer: ExchangeMessage): void {
    const { current, configuration } = this.#core;
    const { sequence } = configuration.state;
    if (!answer.vouches || answer.epoch !== current.view.epoch) return;
    if (answer.sequence > sequence || sequence < current.view.sequence) return;
    this.#supporters.add(answer.incarnation);
    this.#renew();
  }

  #renew(): void {
    const { current, gate } = this.#core;
    if (hasMajority(current.view, this.#supporters)) gate.renewByPeers(this.#sentAt);
  }
}

/** Builds the answer to a peer's heartbeat, whose transfers were taken over or refused. */
export function buildAnswer(
  core: EntryCore,
  request: ExchangeMessage,
  isTakenOver: boolean,
): ExchangeInit {
  const { current, configuration, gate } = core;
  const { sequence } = configuration.state;
  const isPeer = isMember(current.view, request.incarnation);
  return {
    incarnation: current.incarnation,
    epoch: current.view.epoch,
    sequence,
    vouches: isPeer && current.canVouch(sequence),
    view: request.epoch < current.view.epoch ? formatView(current.view) : '',
    announcements: gate.listAnnouncements().map((item) => encodeAnnouncement(item)),
    changes: configuration
      .listChangesAfter(request.sequence)
      .map((change) => encodeLoggedChange(change)),
    acknowledged: isTakenOver ? request.transfers : [],
  };
}
