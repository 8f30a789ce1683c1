import {
  LeaseWatch,
  ViewChangeKind,
  isMember,
  listIncarnations,
  planJoin,
  planRemoval,
  requiresPromise,
  type ViewChange,
  type Member,
  type StoredView,
  type View,
} from '@currantgap/membership';
import type { PollReport } from '@currantgap/freshness';
import type { Incarnation } from '@currantgap/model';
import { randomUUID } from 'node:crypto';
import { askMajority } from './announcer.ts';
import type { EntryCore } from './core.ts';

/** Milliseconds for which a lease row must stay unchanged before its holder may be declared dead. */
export const LEASE_MS = 6_000;
const RETRY_MS = 200;

/** Keeps this process's seat in the view and declares silent members dead. */
export class SeatKeeper {
  readonly #core: EntryCore;
  readonly #seat: Member;
  readonly #leases = new LeaseWatch(LEASE_MS);

  constructor(core: EntryCore, seat: Member) {
    this.#core = core;
    this.#seat = seat;
  }

  /** Tries to take the seat; true when this process has it. */
  async join(): Promise<boolean> {
    const { views, current } = this.#core;
    const stored = await views.read();
    if (stored.isErr()) return false;
    if (!isMember(stored.value.view, this.#seat.incarnation)) {
      const isMoved = await this.#move(stored.value, planJoin(stored.value.view, this.#seat));
      if (!isMoved) return false;
    } else {
      current.offer(stored.value.view);
    }
    return current.isSeated;
  }

  /** Gives the seat up. All work must have ended. Returns whether the table has recorded it. */
  async leave(): Promise<boolean> {
    const { views } = this.#core;
    const stored = await views.read();
    if (stored.isErr()) return false;
    const move = planRemoval(stored.value.view, this.#seat.incarnation, ViewChangeKind.Leave);
    return move === undefined || this.#move(stored.value, move);
  }

  /** Writes the lease row anew, which shows peers that this process runs. */
  async renewLease(): Promise<void> {
    const { table, rows } = this.#core;
    const key = rows.formatLease(this.#seat.incarnation);
    await table.apply({
      nonce: randomUUID(),
      conditions: [],
      writes: [{ key, value: this.#seat.name }],
      witness: key,
    });
  }

  /** Records what a successful poll found of the leases. */
  observe(report: PollReport): void {
    for (const [incarnation, version] of report.leases) {
      this.#leases.observe(incarnation, version, this.#core.clock.now);
    }
  }

  /** While the table is away nobody can renew, so no lease may lapse. */
  resetLeases(): void {
    this.#leases.reset();
  }

  /** Declares one lost member dead, when it is this entry's turn to do so. */
  async declareLost(): Promise<void> {
    const { current, views, logger } = this.#core;
    const lost = this.#findLost(current.view);
    if (lost === undefined || !this.#isDeclarer(current.view)) return;
    const stored = await views.read();
    if (stored.isErr() || stored.value.view.epoch !== current.view.epoch) return;
    const move = planRemoval(stored.value.view, lost, ViewChangeKind.DeclareDead);
    if (move === undefined) return;
    const isMoved = await this.#move(stored.value, move);
    logger.writeWarning('declared a member dead', { incarnation: lost, isMoved });
  }

  /** Takes the seat of a member away at the word of an operator that its VM is gone. */
  async removeByForce(name: string): Promise<boolean> {
    const { views, current } = this.#core;
    const stored = await views.read();
    if (stored.isErr()) return false;
    const seat = stored.value.view.seats.find((other) => other.name === name);
    if (seat === undefined) return false;
    const move = planRemoval(stored.value.view, seat.incarnation, ViewChangeKind.DeclareDead);
    if (move === undefined) return false;
    const moved = await views.write(stored.value, move.next);
    if (moved.isOk()) current.offer(moved.value);
    return moved.isOk();
  }

  async #move(stored: StoredView, move: ViewChange): Promise<boolean> {
    const { current, views } = this.#core;
    if (requiresPromise(move) && !(await this.#gatherPromises(stored.view, move))) return false;
    const moved = await views.write(stored, move.next);
    if (moved.isErr()) return false;
    current.offer(moved.value);
    return true;
  }

  /** Asks the members of the view to vouch under it no longer. */
  async #gatherPromises(view: View, move: ViewChange): Promise<boolean> {
    const { current, peers } = this.#core;
    peers.setView(view);
    const remaining = new Set(listIncarnations(move.next));
    const isOwnPromised = isMember(view, current.incarnation) ? current.promise(view.epoch) : true;
    if (!isOwnPromised) return false;
    return askMajority(this.#core, view, async (peer) => {
      const isAsked = remaining.has(peer.seat.incarnation) || move.kind === ViewChangeKind.Join;
      if (!isAsked) return false;
      const answer = await peer.client.calls.promise({ epoch: view.epoch });
      return answer.isPromised;
    });
  }

  #findLost(view: View): Incarnation | undefined {
    return listIncarnations(view).find((member) => this.#isLost(member));
  }

  #isLost(incarnation: Incarnation): boolean {
    const { clock, peers, settings } = this.#core;
    if (incarnation === this.#seat.incarnation) return false;
    if (!this.#leases.hasExpired(incarnation, clock.now)) return false;
    return peers.isSilent(incarnation, settings.timing.suspectAfterMs);
  }

  /** The first member that is not lost declares, so that members do not race each other. */
  #isDeclarer(view: View): boolean {
    const first = listIncarnations(view).find((member) => !this.#isLost(member));
    return first === this.#seat.incarnation;
  }

  /** Gets when to try again after a move failed, spread over time. */
  computeRetryAt(): number {
    const { clock, random } = this.#core;
    return clock.now + RETRY_MS * (1 + random.drawFraction());
  }
}
