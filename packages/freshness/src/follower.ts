import { FaultKind, type Fault, type Incarnation, type Instant } from '@currantgap/model';
import {
  listIncarnations,
  parseHead,
  parseView,
  type RowNames,
  type View,
} from '@currantgap/membership';
import type { Row, TableService } from '@currantgap/platform';
import type { Clock } from '@currantgap/tasks';
import { err, ok, type Result } from 'neverthrow';
import type { Configuration } from './configuration.ts';
import { parseLogEntry, type LoggedChange } from './log-entry.ts';

/** Log rows read in one call. */
const LOG_PAGE_SIZE = 200;

/** Result of a successful poll of the table. */
export interface PollReport {
  /** Instant at which the poll began, before its first read was sent. */
  readonly sentAt: Instant;
  readonly view: View;
  /** Versions of the lease rows, for the members of the view known before the poll. */
  readonly leases: ReadonlyMap<Incarnation, number>;
}

/** Options of `ConfigurationFollower`. */
export interface FollowerOptions {
  readonly table: TableService;
  readonly clock: Clock;
  readonly rows: RowNames;
  readonly configuration: Configuration;
}

/** Follows the change log and the view by polling the table. */
export class ConfigurationFollower {
  readonly #options: FollowerOptions;

  constructor(options: FollowerOptions) {
    this.#options = options;
  }

  /**
   * Reads the head, the view and the leases in one call, then applies the log up to that head. On
   * success, every change accepted before `sentAt` is in force at this entry. Fails with
   * `Unavailable`, or with the fault of a change that cannot be applied.
   */
  async poll(knownView: View): Promise<Result<PollReport, Fault>> {
    const { table, clock, rows, configuration } = this.#options;
    const members = listIncarnations(knownView);
    const sentAt = clock.now;
    const leaseKeys = members.map((member) => rows.formatLease(member));
    const read = await table.read([rows.head, rows.view, ...leaseKeys]);
    if (read.isErr()) return err(read.error);
    const [headRow, viewRow, ...leaseRows] = read.value;
    const head = parseHead(headRow?.value ?? '');
    while (configuration.state.sequence < head.sequence) {
      const applied = await this.#applyNextPage();
      if (applied.isErr()) return err(applied.error);
    }
    return ok({
      sentAt,
      view: parseView(viewRow?.value ?? ''),
      leases: new Map(members.map((member, index) => [member, leaseRows[index]?.version ?? 0])),
    });
  }

  async #applyNextPage(): Promise<Result<undefined, Fault>> {
    const { table, rows, configuration } = this.#options;
    const page = await table.list({
      prefix: rows.logPrefix,
      after: rows.formatLog(configuration.state.sequence),
      limit: LOG_PAGE_SIZE,
    });
    if (page.isErr()) return err(page.error);
    if (page.value.length === 0) return err(createGapFault());
    return configuration.apply(page.value.map((row) => parseLogRow(row)));
  }
}

function parseLogRow(row: Row): LoggedChange {
  const sequence = Number(row.key.slice(row.key.lastIndexOf('/') + 1));
  return { sequence, ...parseLogEntry(row.value) };
}

function createGapFault(): Fault {
  return {
    kind: FaultKind.Unavailable,
    message: 'The change log ends before the sequence of its head row.',
    remedy: 'Check the table service; the entry retries automatically.',
  };
}
