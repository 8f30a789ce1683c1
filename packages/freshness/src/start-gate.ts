import type { StartSubject } from '@currantgap/environment';
import type { Instant } from '@currantgap/model';
import type { Clock } from '@currantgap/tasks';
import { PendingAnnouncements, type Announcement } from './pending-announcements.ts';

/**
 * Decides whether work may start now. An entry that cannot be sure to know the latest changes
 * starts nothing. The same rule stops entries that crashed, were paused or are partitioned. Call
 * `canStart` immediately before sending, because an earlier result may be outdated.
 */
export class StartGate {
  readonly #clock: Clock;
  readonly #freshnessBoundMs: number;
  readonly #announcements = new PendingAnnouncements();
  #freshByReadUntil: Instant = -Infinity;
  #freshByPeersUntil: Instant = -Infinity;
  #isClosed = false;

  constructor(clock: Clock, freshnessBoundMs: number) {
    this.#clock = clock;
    this.#freshnessBoundMs = freshnessBoundMs;
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Instant from which nothing starts, unless freshness is renewed; `-Infinity` once closed. */
  get freshUntil(): Instant {
    if (this.#isClosed) return -Infinity;
    return Math.max(this.#freshByReadUntil, this.#freshByPeersUntil);
  }

  /** Renews freshness after this entry has read the whole log; the read was sent at `sentAt`. */
  renewByRead(sentAt: Instant): void {
    this.#freshByReadUntil = Math.max(this.#freshByReadUntil, sentAt + this.#freshnessBoundMs);
  }

  /** Renews freshness after a majority has answered requests sent at or after `sentAt`. */
  renewByPeers(sentAt: Instant): void {
    this.#freshByPeersUntil = Math.max(this.#freshByPeersUntil, sentAt + this.#freshnessBoundMs);
  }

  /** Closes the gate permanently, because the view no longer contains this incarnation. */
  close(): void {
    this.#isClosed = true;
  }

  /**
   * Whether work for `subject` may start now. Pending announcements forbid starts only when
   * freshness depends on the answers of peers alone.
   */
  canStart(subject: StartSubject): boolean {
    if (this.#isClosed) return false;
    const { now } = this.#clock;
    if (now < this.#freshByReadUntil) return true;
    return now < this.#freshByPeersUntil && !this.#announcements.canForbid(subject);
  }

  /** Adds an announcement from a peer or from this entry. */
  announce(announcement: Announcement): void {
    this.#announcements.add(announcement);
  }

  /** Resolves the announcement with this transaction nonce. */
  resolve(id: string): void {
    this.#announcements.resolve(id);
  }

  /** Drops announcements of earlier epochs, right after a read of the whole log under `epoch`. */
  dropAnnouncementsBefore(epoch: number): void {
    this.#announcements.dropBefore(epoch);
  }

  /** Lists the pending announcements. */
  listAnnouncements(): Announcement[] {
    return this.#announcements.list();
  }
}
