import { ChangeKind, isRestrictive, type Change } from '@currantgap/environment';
import { formatHead, type RowNames, type StoredView, type ViewStore } from '@currantgap/membership';
import { createFault, FaultKind, type Fault } from '@currantgap/model';
import { CommitResult, type TableService } from '@currantgap/platform';
import { randomUUID } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { Announcement } from './pending-announcements.ts';
import { formatLogEntry, type LoggedChange } from './log-entry.ts';

/** Attempts to place a change at the end of the log while other operators write too. */
const MAXIMUM_ATTEMPTS = 5;

/** Tells peers about changes before and after their commit. */
export abstract class ChangeAnnouncer {
  /** Resolves to whether a majority of the view of `epoch` has taken note. */
  abstract announce(announcement: Announcement): Promise<boolean>;

  /** Tells peers that an announced change surely never takes effect. */
  abstract withdraw(announcement: Announcement): void;

  /** Tells peers of a committed change. */
  abstract publish(change: LoggedChange): void;
}

/** Options of the writer. */
export interface ChangeWriterOptions {
  readonly table: TableService;
  readonly rows: RowNames;
  readonly views: ViewStore;
  readonly announcer: ChangeAnnouncer;
}

/** Writes configuration changes: announces, commits on the announced epoch, then publishes. */
export class ChangeWriter {
  readonly #options: ChangeWriterOptions;

  constructor(options: ChangeWriterOptions) {
    this.#options = options;
  }

  /**
   * Writes a change to the log and returns its sequence. Fails with `Conflict` when
   * `expectedDocument` is given and no longer in force, with `Unavailable` when nothing was
   * written, with `OutcomeUnknown` when that could not be found out.
   */
  async write(change: Change, expectedDocument?: string): Promise<Result<number, Fault>> {
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const written = await this.#tryWrite(change, expectedDocument);
      if (written.isErr() || written.value !== undefined) {
        return written.map((sequence) => sequence ?? 0);
      }
    }
    return err(createRaceFault());
  }

  /** Resolves to undefined when another write came first. */
  async #tryWrite(
    change: Change,
    expectedDocument: string | undefined,
  ): Promise<Result<number | undefined, Fault>> {
    const stored = await this.#options.views.read();
    if (stored.isErr()) return err(stored.error);
    if (expectedDocument !== undefined && stored.value.head.documentHash !== expectedDocument) {
      return err(createMovedFault());
    }
    const announcement: Announcement = { id: randomUUID(), epoch: stored.value.view.epoch, change };
    if (isRestrictive(change) && !(await this.#options.announcer.announce(announcement))) {
      this.#options.announcer.withdraw(announcement);
      return err(createMajorityFault());
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

function createRaceFault(): Fault {
  return createFault(
    FaultKind.Conflict,
    'Other operators changed the configuration at the same time.',
    'Show the present state and repeat the command.',
  );
}

function createMovedFault(): Fault {
  return createFault(
    FaultKind.Conflict,
    'The environment moved since its difference was shown.',
    'Show the difference again and repeat the command.',
  );
}

function createMajorityFault(): Fault {
  return createFault(
    FaultKind.Unavailable,
    'No majority of the entries could be told of the change; nothing was changed.',
    'Repeat the command when more entries are reachable, or send it to an entry of the other side.',
  );
}
