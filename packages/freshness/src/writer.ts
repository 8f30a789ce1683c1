import { ChangeKind, isRestrictive, type Change } from '@currantgap/environment';
import { formatHead, type RowNames, type StoredView, type ViewStore } from '@currantgap/membership';
import { createFault, FaultKind, type Fault } from '@currantgap/model';
import { CommitResult, type TableService } from '@currantgap/platform';
import { randomUUID } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { Announcement } from './pending-announcements.ts';
import { formatLogEntry, type LoggedChange } from './log-entry.ts';

/** Attempts to append a change to the log while other operators write concurrently. */
const MAXIMUM_ATTEMPTS = 5;

/** Notifies peers of changes before and after their commit. */
export abstract class ChangeAnnouncer {
  /** Resolves to whether a majority of the view at the announced epoch acknowledged the change. */
  abstract announce(announcement: Announcement): Promise<boolean>;

  /** Notifies peers that an announced change will never take effect. */
  abstract withdraw(announcement: Announcement): void;

  /** Notifies peers of a committed change. */
  abstract publish(change: LoggedChange): void;
}

/** Options of `ChangeWriter`. */
export interface ChangeWriterOptions {
  readonly table: TableService;
  readonly rows: RowNames;
  readonly views: ViewStore;
  readonly announcer: ChangeAnnouncer;
}

/**
 * Writes configuration changes: announces a restrictive change to peers, commits it on condition
 * that the announced epoch is still current, and publishes it.
 */
export class ChangeWriter {
  readonly #options: ChangeWriterOptions;

  constructor(options: ChangeWriterOptions) {
    this.#options = options;
  }

  /**
   * Writes a change to the log and returns its sequence. Fails with `Conflict` if
   * `expectedDocument` is given and no longer in force or concurrent writes win every attempt, with
   * `Unavailable` if nothing was written, and with `OutcomeUnknown` if it may have been written.
   */
  async write(change: Change, expectedDocument?: string): Promise<Result<number, Fault>> {
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const written = await this.#tryWrite(change, expectedDocument);
      if (written.isErr() || written.value !== undefined) {
        return written.map((sequence) => sequence ?? 0);
      }
    }
    return err(createConcurrentWriteFault());
  }

  /** Makes one attempt to write; resolves to undefined when a concurrent write came first. */
  async #tryWrite(
    change: Change,
    expectedDocument: string | undefined,
  ): Promise<Result<number | undefined, Fault>> {
    const stored = await this.#options.views.read();
    if (stored.isErr()) return err(stored.error);
    if (expectedDocument !== undefined && stored.value.head.documentHash !== expectedDocument) {
      return err(createStaleDocumentFault());
    }
    const announcement: Announcement = { id: randomUUID(), epoch: stored.value.view.epoch, change };
    if (isRestrictive(change) && !(await this.#options.announcer.announce(announcement))) {
      this.#options.announcer.withdraw(announcement);
      return err(createNoMajorityFault());
    }
    return this.#commit(announcement, stored.value);
  }

  async #commit(
    announcement: Announcement,
    stored: StoredView,
  ): Promise<Result<number | undefined, Fault>> {
    const { table, rows, announcer } = this.#options;
    const { id, change } = announcement;
    const sequence = stored.head.sequence + 1;
    const documentHash =
      change.kind === ChangeKind.ApplyDocument ? change.hash : stored.head.documentHash;
    const result = await table.apply({
      nonce: id,
      conditions: [
        { key: rows.view, version: stored.version },
        { key: rows.head, version: stored.headVersion },
      ],
      writes: [
        { key: rows.formatLog(sequence), value: formatLogEntry({ id, change }) },
        { key: rows.head, value: formatHead({ sequence, documentHash }) },
      ],
      witness: rows.formatLog(sequence),
    });
    if (result.isErr()) {
      if (result.error.kind === FaultKind.Unavailable) announcer.withdraw(announcement);
      return err(result.error);
    }
    if (result.value === CommitResult.Conflict) {
      announcer.withdraw(announcement);
      return ok(undefined);
    }
    announcer.publish({ sequence, id, change });
    return ok(sequence);
  }
}

function createConcurrentWriteFault(): Fault {
  return createFault(
    FaultKind.Conflict,
    'Other operators changed the configuration at the same time.',
    'Show the present state and repeat the command.',
  );
}

function createStaleDocumentFault(): Fault {
  return createFault(
    FaultKind.Conflict,
    'The environment moved since its difference was shown.',
    'Show the difference again and repeat the command.',
  );
}

function createNoMajorityFault(): Fault {
  return createFault(
    FaultKind.Unavailable,
    'No majority of the entries could be told of the change; nothing was changed.',
    'Repeat the command when more entries are reachable, or send it to an entry of the other side.',
  );
}
