import { canForbid, type Change, type StartSubject } from '@currantgap/environment';

/** A change that an entry is about to write to the table. */
export interface Announcement {
  /** Nonce of the transaction that commits the change. */
  readonly id: string;
  /** Epoch without which the transaction does not take effect. */
  readonly epoch: number;
  readonly change: Change;
}

/** The announced changes whose outcome this entry does not know. */
export class PendingAnnouncements {
  readonly #pending = new Map<string, Announcement>();
  readonly #resolved = new Set<string>();

  /** Adds an announcement, unless it has been resolved already. */
  add(announcement: Announcement): void {
    if (!this.#resolved.has(announcement.id)) this.#pending.set(announcement.id, announcement);
  }

  /** Resolves an announcement: its change was applied, or surely never will be. */
  resolve(id: string): void {
    this.#pending.delete(id);
    this.#resolved.add(id);
    if (this.#resolved.size <= MAXIMUM_RESOLVED) return;
    const [oldest] = this.#resolved;
    if (oldest !== undefined) this.#resolved.delete(oldest);
  }

  /**
   * Drops the announcements of earlier epochs. Only right after an own read of the whole log
   * under `epoch`: what was not in the log then can no longer be committed.
   */
  dropBefore(epoch: number): void {
    for (const announcement of this.#pending.values()) {
      if (announcement.epoch < epoch) this.resolve(announcement.id);
    }
  }

  /** Whether an announced change could forbid a start for `subject`. */
  canForbid(subject: StartSubject): boolean {
    for (const announcement of this.#pending.values()) {
      if (canForbid(announcement.change, subject)) return true;
    }
    return false;
  }

  /** Lists the announcements still pending. */
  list(): Announcement[] {
    return [...this.#pending.values()];
  }
}

const MAXIMUM_RESOLVED = 1_024;
