import type { StartSubject } from '@currantgap/environment';
import type { Instant } from '@currantgap/model';
import type { Clock } from '@currantgap/tasks';
import { PendingAnnouncements, type Announcement } from './pending-announcements.ts';

/**
 * Decides whether work may start now. An entry that cannot know of the newest changes starts
 * nothing; the same rule stops crashed, paused and cut-off entries. Asked at the moment of
 * sending, never earlier.
 */
export class StartGate {
  readonly #clock: Clock;
  readonly #boundMs: number;
  readonly #announcements = new PendingAnnouncements();
  #freshByReadUntil: Instant = -Infinity;
  #freshByPeersUntil: Instant = -Infinity;
  #isClosed = false;

  constructor(clock: Clock, boundMs: number) {
    this.#clock = clock;
    this.#boundMs = boundMs;
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Instant after which nothing starts. */
  get freshUntil(): Instant {
    if (this.#isClosed) return -Infinity;
    return Math.max(this.#freshByReadUntil, this.#freshByPeersUntil);
  }

  /** Renews by an own read of the whole log that was sent at `sentAt`. */
  renewByRead(sentAt: Instant): void {
    this.#freshByReadUntil = Math.max(this.#freshByReadUntil, sentAt + this.#boundMs);
  }

  /** Renews by the answers of a majority to questions sent at or after `sentAt`. */
  renewByPeers(sentAt: Instant): void {
    this.#freshByPeersUntil = Math.max(this.#freshByPeersUntil, sentAt + this.#boundMs);
  }

  /** Closes the gate for good: the view no longer names this incarnation. */
  close(): void {
    this.#isClosed = true;
  }

  /** Whether work for `subject` may start at this moment. */
  canStart(subject: StartSubject): boolean {
    if (this.#isClosed) return false;
    const { now } = this.#clock;
    if (now < this.#freshByReadUntil) return true;
    return now < this.#freshByPeersUntil && !this.#announcements.canForbid(subject);
  }

  /** Adds an announced change. */
  announce(announcement: Announcement): void {
    this.#announcements.add(announcement);
  }

  /** Resolves an announced change by the nonce of its transaction. */
  resolve(id: string): void {
    this.#announcements.resolve(id);
  }

  /** Drops announcements that an own read of the log under `epoch` has made void. */
  dropAnnouncementsBefore(epoch: number): void {
    this.#announcements.dropBefore(epoch);
  }

  /** Lists the announcements still pending. */
  listAnnouncements(): Announcement[] {
    return this.#announcements.list();
  }
}
