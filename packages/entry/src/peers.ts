import { listIncarnations, type Member, type View } from '@currantgap/membership';
import type { Incarnation, Instant } from '@currantgap/model';
import { PeerClient } from '@currantgap/peer';
import type { Clock } from '@currantgap/tasks';
import type { TrafficMeter } from '@currantgap/telemetry';

/** Options of `Peers`. */
export interface PeersOptions {
  readonly clock: Clock;
  /** Incarnation of this entry. */
  readonly self: Incarnation;
  readonly key: string;
  /** Timeout in milliseconds of each call. */
  readonly timeoutMs: number;
  readonly traffic: TrafficMeter;
}

/** A member of the view other than this entry, and a client for calling it. */
export interface Peer {
  readonly member: Member;
  readonly client: PeerClient;
}

/** The other members of the view, their clients and the time of the last contact with each. */
export class Peers {
  readonly #options: PeersOptions;
  readonly #clients = new Map<string, PeerClient>();
  readonly #lastContactAt = new Map<Incarnation, Instant>();
  #peers: Peer[] = [];

  constructor(options: PeersOptions) {
    this.#options = options;
  }

  /**
   * Updates the peers to a view and closes the clients of addresses that are not part of it.
   * Members seen for the first time count as just contacted.
   */
  setView(view: View): void {
    const incarnations = listIncarnations(view);
    this.#peers = view.seats
      .filter((member) => member.incarnation !== this.#options.self)
      .map((member) => ({ member, client: this.openClient(member.address) }));
    const addresses = new Set(view.seats.map((member) => member.address));
    for (const [address, client] of this.#clients) {
      if (addresses.has(address)) continue;
      client.close();
      this.#clients.delete(address);
    }
    for (const incarnation of incarnations) {
      if (!this.#lastContactAt.has(incarnation)) this.recordContact(incarnation);
    }
  }

  /** Lists the other members of the current view. */
  list(): readonly Peer[] {
    return this.#peers;
  }

  /** Finds a peer; undefined if the incarnation is not another member of the view. */
  find(incarnation: Incarnation): Peer | undefined {
    return this.#peers.find((peer) => peer.member.incarnation === incarnation);
  }

  /** Opens or returns the client of an address. The entry there need not be in the view yet. */
  openClient(address: string): PeerClient {
    const existing = this.#clients.get(address);
    if (existing !== undefined) return existing;
    const { key, timeoutMs, traffic } = this.#options;
    const created = new PeerClient({ address, key, timeoutMs, traffic });
    this.#clients.set(address, created);
    return created;
  }

  /** Records that a message of a member has just been received. */
  recordContact(incarnation: Incarnation): void {
    this.#lastContactAt.set(incarnation, this.#options.clock.now);
  }

  /** Whether no message of a member has been received for `suspectAfterMs` milliseconds. */
  isSilent(incarnation: Incarnation, suspectAfterMs: number): boolean {
    const lastContactAt = this.#lastContactAt.get(incarnation) ?? -Infinity;
    return this.#options.clock.now - lastContactAt >= suspectAfterMs;
  }

  /** Closes every client. */
  close(): void {
    for (const client of this.#clients.values()) client.close();
    this.#clients.clear();
  }
}
