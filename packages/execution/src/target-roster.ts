import type { Attempt } from '@currantgap/jobs';
import type { LeasedTarget } from '@currantgap/ownership';
import type { Row } from '@currantgap/store';
import type { Clock } from '@currantgap/tasks';
import type { Logger } from '@currantgap/telemetry';
import { FencedRow, type FencedWriter } from './fenced-writer.ts';
import type { Fleet } from './fleet.ts';
import type { Reconciliation } from './reconciliation.ts';
import { RosterState } from './roster-state.ts';
import type { TargetRecord } from './target-record.ts';

/** Table with a row for each target on which the owner may hold leases. */
export const ROSTER_TABLE = 'owner-targets';

/** Tasks that a log line names at most. */
const MAXIMUM_LOGGED_TASKS = 20;

/** Options of a roster. */
export interface TargetRosterOptions {
  readonly writer: FencedWriter;
  readonly logger: Logger;
  readonly clock: Clock;
  readonly fleet: Fleet;
  readonly reconciliation: Reconciliation;
  /** Gets the latest time that the store's clock may show now, in milliseconds; undefined if it is not known. */
  readonly getLatestStoreTime: () => number | undefined;
}

/**
 * Keeps the stored list of targets on which this owner may hold leases, from which a successor
 * learns whose reports it must await.
 */
export class TargetRoster {
  readonly #options: TargetRosterOptions;
  readonly #rows = new Map<string, TargetRow>();
  /** Times on the store's clock, in milliseconds, at which starts were sent. */
  readonly #storeTimes = new WeakMap<Attempt, number>();
  /** Monotonic times from which silent targets of earlier terms are awaited, by their ids. */
  readonly #awaited = new Map<string, number>();

  constructor(options: TargetRosterOptions) {
    this.#options = options;
  }

  /** Loads the targets on which earlier owners may hold leases; malformed rows are logged. */
  load(rows: readonly Row[]): void {
    const { fleet, logger, reconciliation } = this.#options;
    for (const { key, value, version } of rows) {
      this.#rows.set(key, new TargetRow(key, fleet, value, version));
      const target = decodeTarget(key, value);
      if (target === undefined) {
        logger.writeError('roster row not decodable', { target: key });
        continue;
      }
      reconciliation.expectReport(target);
      this.#writeAwaited(target);
    }
  }

  /** Enqueues the rows whose value has changed. */
  sweep(): void {
    const { clock, fleet, reconciliation } = this.#options;
    const { now } = clock;
    const values = new Map<string, string>();
    for (const target of reconciliation.listPending(now)) {
      values.set(target.id, encodeTarget(target));
    }
    this.#writeNoLongerAwaited(values);
    for (const target of fleet.targets) {
      if (values.has(target.id)) continue;
      const isOver = target.leasesExpireAt <= now && target.assignmentCount === 0;
      const hasEnded = isOver || fleet.isTerminated(target);
      if (!target.isRegistered && hasEnded) continue;
      values.set(target.id, encodeTarget(this.#describe(target)));
    }
    for (const [id, value] of values) this.#change(id, value);
    for (const [id, row] of this.#rows) {
      if (values.has(id)) continue;
      if (row.isRemoved) this.#rows.delete(id);
      else this.#change(id, undefined);
    }
  }

  /** Tells of a target that was silent already, for whose tasks this owner waits. */
  #writeAwaited({ id, service, tasks, unanswered = [], startedAt = {} }: LeasedTarget): void {
    if (tasks === undefined && unanswered.length === 0) return;
    const { clock, getLatestStoreTime, logger, reconciliation } = this.#options;
    const storeTime = getLatestStoreTime() ?? Number.NaN;
    const oldestStartMs = storeTime - Math.min(...Object.values(startedAt));
    this.#awaited.set(id, clock.now);
    logger.writeInfo('silent target awaited', {
      target: id,
      service,
      tasks: tasks?.length ?? 'any',
      unanswered: unanswered.slice(0, MAXIMUM_LOGGED_TASKS).join(' '),
      leasesEndInMs: Math.round(reconciliation.deadline - clock.now),
      ...(Number.isFinite(oldestStartMs) ? { oldestStartMs: Math.round(oldestStartMs) } : {}),
    });
  }

  /** Describes what may run on a target, or have ended there without being stored in the ledger. */
  #describe(target: TargetRecord): LeasedTarget {
    const { id, entry, closedBornAt, unansweredCalls, appliedThrough, acknowledgedThrough } =
      target;
    const { service, vm, bornAt } = entry;
    const description = { id, service, vm, bornAt, closedBornAt };
    if (unansweredCalls === 0) return description;
    const assignments = [...target.assignments];
    const starts = assignments.filter(({ attempt }) => !attempt.hasBegun);
    const unanswered = starts.map(({ task }) => task.name);
    const times = starts.map(({ task, attempt }) => [task.name, this.#getStoreTime(attempt)]);
    const startedAt = Object.fromEntries(times) as LeasedTarget['startedAt'];
    const hasUnstoredEnds = target.hasUnappliedEnds || appliedThrough > acknowledgedThrough;
    if (hasUnstoredEnds) return { ...description, unanswered, startedAt };
    const tasks = assignments.map(({ task }) => task.name);
    return { ...description, tasks, unanswered, startedAt };
  }

  /** Gets the time at which a start was sent, on the store's clock; the same whenever it is asked for. */
  #getStoreTime(attempt: Attempt): number | undefined {
    const { clock, getLatestStoreTime } = this.#options;
    const storeNow = getLatestStoreTime();
    if (storeNow === undefined) return undefined;
    const known = this.#storeTimes.get(attempt);
    const storeTime = known ?? Math.round(storeNow + attempt.startedAt - clock.now);
    this.#storeTimes.set(attempt, storeTime);
    return storeTime;
  }

  #writeNoLongerAwaited(awaited: ReadonlyMap<string, string>): void {
    const { clock, logger } = this.#options;
    for (const [id, since] of this.#awaited) {
      if (awaited.has(id)) continue;
      this.#awaited.delete(id);
      const waitedMs = Math.round(clock.now - since);
      logger.writeInfo('silent target no longer awaited', { target: id, waitedMs });
    }
  }

  #change(id: string, value: string | undefined): void {
    const row = this.#rows.get(id) ?? new TargetRow(id, this.#options.fleet, undefined, 0);
    this.#rows.set(id, row);
    if (row.change(value)) this.#options.writer.addUrgent(row);
  }
}

/** The roster row of one target. */
class TargetRow extends FencedRow {
  readonly table = ROSTER_TABLE;
  readonly key: string;
  version: number;
  readonly #fleet: Fleet;
  /** Value that the row should have; undefined if it should be removed. */
  #wanted: string | undefined;
  /** Value that was last sent to the store. */
  #sent: string | undefined;
  /** Value that the store is known to have. */
  #stored: string | undefined;
  /** Whether a write was sent whose outcome is not known, so that it may still take effect. */
  #isUncertain = false;

  constructor(key: string, fleet: Fleet, value: string | undefined, version: number) {
    super();
    this.key = key;
    this.version = version;
    this.#fleet = fleet;
    this.#wanted = value;
    this.#stored = value;
  }

  /** Whether the row is not, and should not be, in the store. */
  get isRemoved(): boolean {
    return this.#wanted === undefined && this.version === 0;
  }

  /** Sets the value that the row should have; returns whether it differs from the last one. */
  change(value: string | undefined): boolean {
    if (value === this.#wanted) {
      this.#updateTarget();
      return false;
    }
    const isListed = this.#isListing(this.#wanted) && this.#isListing(value);
    this.#wanted = value;
    // The write may take effect at any time from now on.
    const target = this.#fleet.find(this.key);
    if (target !== undefined && !isListed) target.rosterState = RosterState.Absent;
    return true;
  }

  encode(): string | undefined {
    this.#sent = this.#wanted;
    this.#isUncertain = true;
    return this.#wanted;
  }

  handleStored(): void {
    this.#stored = this.#sent;
    this.#isUncertain = false;
    this.#updateTarget();
  }

  #updateTarget(): void {
    const target = this.#fleet.find(this.key);
    if (target === undefined || this.#stored === undefined) return;
    if (this.#isUncertain || this.#stored !== this.#wanted) return;
    target.rosterState = this.#isListing(this.#stored) ? RosterState.Listed : RosterState.Silent;
  }

  /** Whether a value says that any task may run on the target. */
  #isListing(value: string | undefined): boolean {
    return value !== undefined && decodeTarget(this.key, value)?.tasks === undefined;
  }
}

function encodeTarget(target: LeasedTarget): string {
  return JSON.stringify({ ...target, id: undefined });
}

function decodeTarget(id: string, value: string): LeasedTarget | undefined {
  try {
    const row = JSON.parse(value) as Partial<LeasedTarget> | null;
    if (typeof row?.service !== 'string') return undefined;
    return { ...row, id, service: row.service };
  } catch {
    return undefined;
  }
}
