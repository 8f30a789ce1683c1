import { canForbid, type Change, type StartSubject } from '@currantgap/environment';

/** Announcement of a change that an entry is about to write to the table. */
export interface Announcement {
  /** Nonce of the transaction that will commit the change. */
  readonly id: string;
  /** Epoch of the view; the transaction takes effect only while it is current. */
  readonly epoch: number;
  readonly change: Change;
}

/** Announced changes whose outcome this entry does not know yet. */
export class PendingAnnouncements {
  readonly #pending = new Map<string, Announcement>();
  readonly #resolved = new Set<string>();

  /** Adds an announcement unless it was already resolved. */
  add(announcement: Announcement): void {
    if (!this.#resolved.has(announcement.id)) this.#pending.set(announcement.id, announcement);
  }

  /** Resolves an announcement whose change was applied or can no longer take effect. */
  resolve(id: string): void {
    this.#pending.delete(id);
    this.#resolved.add(id);
    if (this.#resolved.size <= MAXIMUM_RESOLVED) return;
    const [oldest] = this.#resolved;
    if (oldest !== undefined) this.#resolved.delete(oldest);
  }

  /**
   * Drops the announcements of epochs before `epoch`. Call it only right after this entry has read
   * the whole log under `epoch`: earlier changes not in the log can then no longer be committed.
   */
  dropBefore(epoch: number): void {
    for (const announcement of this.#pending.values()) {
      if (announcement.epoch < epoch) this.resolve(announcement.id);
    }
  }

  /** Whether a pending change could forbid a start for `subject`. */
  canForbid(subject: StartSubject): boolean {
    for (const announcement of this.#pending.values()) {
      if (canForbid(announcement.change, subject)) return true;
    }
    return false;
  }

  /** Lists the pending announcements. */
  list(): Announcement[] {
    return [...this.#pending.values()];
  }
}

/** Resolved announcements remembered so that late duplicates of them are ignored. */
const MAXIMUM_RESOLVED = 1_024;
