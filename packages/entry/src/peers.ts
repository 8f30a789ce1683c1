import { listIncarnations, type Member, type View } from '@currantgap/membership';
import type { Incarnation, Instant } from '@currantgap/model';
import { PeerClient } from '@currantgap/peer';
import type { Clock } from '@currantgap/tasks';
import type { TrafficMeter } from '@currantgap/telemetry';

/** Options of the peers. */
export interface PeersOptions {
  readonly clock: Clock;
  readonly self: Incarnation;
  readonly key: string;
  readonly timeoutMs: number;
  readonly traffic: TrafficMeter;
}

/** A member of the view other than this entry. */
export interface Peer {
  readonly seat: Member;
  readonly client: PeerClient;
}

/** The other members of the view, with a client each and when they were last heard. */
export class Peers {
  readonly #options: PeersOptions;
  readonly #clients = new Map<string, PeerClient>();
  readonly #heardAt = new Map<Incarnation, Instant>();
  #peers: Peer[] = [];

  constructor(options: PeersOptions) {
    this.#options = options;
  }

  /** Applies a view. */
  setView(view: View): void {
    const members = listIncarnations(view);
    this.#peers = view.seats
      .filter((seat) => seat.incarnation !== this.#options.self)
      .map((seat) => ({ seat, client: this.open(seat.address) }));
    const addresses = new Set(view.seats.map((seat) => seat.address));
    for (const [address, client] of this.#clients) {
      if (addresses.has(address)) continue;
      client.close();
      this.#clients.delete(address);
    }
    for (const member of members) {
      if (!this.#heardAt.has(member)) this.recordHeard(member);
    }
  }

  list(): readonly Peer[] {
    return this.#peers;
  }

  find(incarnation: Incarnation): Peer | undefined {
    return this.#peers.find((peer) => peer.seat.incarnation === incarnation);
  }

  /** Opens the client of an address, which may be of an entry not yet in the view. */
  open(address: string): PeerClient {
    const known = this.#clients.get(address);
    if (known !== undefined) return known;
    const { key, timeoutMs, traffic } = this.#options;
    const created = new PeerClient({ address, key, timeoutMs, traffic });
    this.#clients.set(address, created);
    return created;
  }

  /** Records a sign of life. */
  recordHeard(incarnation: Incarnation): void {
    this.#heardAt.set(incarnation, this.#options.clock.now);
  }

  /** Whether nothing was heard of a member for `suspectAfterMs`. */
  isSilent(incarnation: Incarnation, suspectAfterMs: number): boolean {
    const heardAt = this.#heardAt.get(incarnation) ?? -Infinity;
    return this.#options.clock.now - heardAt >= suspectAfterMs;
  }

  /** Closes every client. */
  close(): void {
    for (const client of this.#clients.values()) client.close();
    this.#clients.clear();
  }
}
