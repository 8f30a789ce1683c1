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

/** Milliseconds without a change of its lease row after which a member may be declared dead. */
export const LEASE_MS = 6_000;
/** Minimum milliseconds before another attempt to join; jitter adds up to the same again. */
const MINIMUM_RETRY_DELAY_MS = 200;

/** Manages the membership of this process in the view and declares unresponsive members dead. */
export class MembershipManager {
  readonly #core: EntryCore;
  readonly #member: Member;
  readonly #leases = new LeaseWatch(LEASE_MS);

  constructor(core: EntryCore, member: Member) {
    this.#core = core;
    this.#member = member;
  }

  /** Tries to join the view; resolves to whether this process is now a member. */
  async join(): Promise<boolean> {
    const { views, current } = this.#core;
    const stored = await views.read();
    if (stored.isErr()) return false;
    if (!isMember(stored.value.view, this.#member.incarnation)) {
      const hasJoined = await this.#changeView(
        stored.value,
        planJoin(stored.value.view, this.#member),
      );
      if (!hasJoined) return false;
    } else {
      current.applyIfNewer(stored.value.view);
    }
    return current.isMember;
  }

  /** Leaves the view once all work has ended; resolves to whether the table has recorded it. */
  async leave(): Promise<boolean> {
    const { views } = this.#core;
    const stored = await views.read();
    if (stored.isErr()) return false;
    const viewChange = planRemoval(
      stored.value.view,
      this.#member.incarnation,
      ViewChangeKind.Leave,
    );
    return viewChange === undefined || this.#changeView(stored.value, viewChange);
  }

  /** Rewrites the lease row: its new version shows peers that this process is alive. */
  async renewLease(): Promise<void> {
    const { table, rows } = this.#core;
    const key = rows.formatLease(this.#member.incarnation);
    await table.apply({
      nonce: randomUUID(),
      conditions: [],
      writes: [{ key, value: this.#member.name }],
      witness: key,
    });
  }

  /** Records the versions of the lease rows that a successful poll read. */
  recordLeases(report: PollReport): void {
    for (const [incarnation, version] of report.leases) {
      this.#leases.observe(incarnation, version, this.#core.clock.now);
    }
  }

  /** Restarts all lease timers: no member can renew its lease while the table is unavailable. */
  resetLeases(): void {
    this.#leases.reset();
  }

  /** Declares one unresponsive member dead, if this entry is the one responsible for doing so. */
  async declareDead(): Promise<void> {
    const { current, views, logger } = this.#core;
    const dead = this.#findDead(current.view);
    if (dead === undefined || !this.#isDeclarer(current.view)) return;
    const stored = await views.read();
    if (stored.isErr() || stored.value.view.epoch !== current.view.epoch) return;
    const viewChange = planRemoval(stored.value.view, dead, ViewChangeKind.DeclareDead);
    if (viewChange === undefined) return;
    const isRecorded = await this.#changeView(stored.value, viewChange);
    logger.writeWarning('declared a member dead', { incarnation: dead, isMoved: isRecorded });
  }

  /**
   * Removes a member whose VM an operator has confirmed to be gone; resolves to whether the table
   * has recorded it.
   */
  async removeMember(name: string): Promise<boolean> {
    const { views, current } = this.#core;
    const stored = await views.read();
    if (stored.isErr()) return false;
    const member = stored.value.view.seats.find((other) => other.name === name);
    if (member === undefined) return false;
    const viewChange = planRemoval(
      stored.value.view,
      member.incarnation,
      ViewChangeKind.DeclareDead,
    );
    if (viewChange === undefined) return false;
    const written = await views.write(stored.value, viewChange.next);
    if (written.isOk()) current.applyIfNewer(written.value);
    return written.isOk();
  }

  async #changeView(stored: StoredView, change: ViewChange): Promise<boolean> {
    const { current, views } = this.#core;
    if (requiresPromise(change) && !(await this.#gatherPromises(stored.view, change))) return false;
    const written = await views.write(stored, change.next);
    if (written.isErr()) return false;
    current.applyIfNewer(written.value);
    return true;
  }

  /**
   * Collects promises from a majority of the view to stop confirming freshness under its epoch. A
   * member that leaves or is declared dead is not asked.
   */
  async #gatherPromises(view: View, viewChange: ViewChange): Promise<boolean> {
    const { current, peers } = this.#core;
    peers.setView(view);
    const remaining = new Set(listIncarnations(viewChange.next));
    const hasOwnPromise = isMember(view, current.incarnation) ? current.promise(view.epoch) : true;
    if (!hasOwnPromise) return false;
    return askMajority(this.#core, view, async (peer) => {
      const shouldAsk =
        remaining.has(peer.member.incarnation) || viewChange.kind === ViewChangeKind.Join;
      if (!shouldAsk) return false;
      const response = await peer.client.calls.promise({ epoch: view.epoch });
      return response.isPromised;
    });
  }

  #findDead(view: View): Incarnation | undefined {
    return listIncarnations(view).find((member) => this.#isPresumedDead(member));
  }

  #isPresumedDead(incarnation: Incarnation): boolean {
    const { clock, peers, settings } = this.#core;
    if (incarnation === this.#member.incarnation) return false;
    if (!this.#leases.hasExpired(incarnation, clock.now)) return false;
    return peers.isSilent(incarnation, settings.timing.suspectAfterMs);
  }

  /** Whether this is the first member not presumed dead. Only one member declares, to avoid races. */
  #isDeclarer(view: View): boolean {
    const first = listIncarnations(view).find((member) => !this.#isPresumedDead(member));
    return first === this.#member.incarnation;
  }

  /** Computes when to retry after a failed attempt to join, with jitter. */
  computeRetryAt(): number {
    const { clock, random } = this.#core;
    return clock.now + MINIMUM_RETRY_DELAY_MS * (1 + random.drawFraction());
  }
}
