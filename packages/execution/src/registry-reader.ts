import type { TargetEntry } from '@currantgap/model';
import { applyRows, type Row } from '@currantgap/store';
import {
  LATEST_EXECUTION_MS,
  MAXIMUM_POOL_WAIT_MS,
  WALL_CLOCK_TOLERANCE_MS,
} from './call-timing.ts';
import { computeMaximumLeaseMs, getWallNow, type OwnerContext } from './context.ts';
import type { TargetRecord } from './target-record.ts';

/** Rows of which it is remembered that they cannot be decoded. */
const MAXIMUM_REPORTED = 1_000;
/** Characters of such a row that its log line repeats. */
const MAXIMUM_LOGGED_CHARACTERS = 200;

/** Table of the target registry and the decoder of its entries. */
export interface Registry {
  readonly table: string;
  /** Decodes an entry; undefined if the value is not valid. */
  readonly decode: (id: string, value: string) => TargetEntry | undefined;
}

/** Applies the registrations of targets. */
export class RegistryReader {
  readonly #context: OwnerContext;
  readonly #registry: Registry;
  /** Keys of the rows that cannot be decoded and were reported. */
  readonly #reported = new Set<string>();

  constructor(context: OwnerContext, registry: Registry) {
    this.#context = context;
    this.#registry = registry;
  }

  /** Applies rows; in a snapshot, a target without a row is not in the registry. */
  apply(rows: readonly Row[], isSnapshot: boolean): void {
    const { clock, reconciliation } = this.#context;
    if (isSnapshot) {
      this.#removeAbsent(rows);
      reconciliation.recordAbsentOthers(new Set(rows.map(({ key }) => key)), clock.now);
    }
    const apply = (row: Row): void => {
      this.#applyRow(row, isSnapshot);
    };
    applyRows(rows, apply, (row, reason) => {
      this.#remove(row.key);
      this.#reportOddRow(row, reason);
    });
  }

  #applyRow(row: Row, isSnapshot: boolean): void {
    const entry = row.isDeleted ? undefined : this.#registry.decode(row.key, row.value);
    if (entry !== undefined) this.#register(entry, isSnapshot);
    else this.#remove(row.key);
    if (entry === undefined && !row.isDeleted) this.#reportOddRow(row, 'malformed');
    else this.#reported.delete(row.key);
  }

  /** Reports a row that names no target, once until it is valid again. */
  #reportOddRow({ key, value }: Row, reason: string): void {
    if (this.#reported.has(key) || this.#reported.size >= MAXIMUM_REPORTED) return;
    this.#reported.add(key);
    this.#context.logger.writeWarning('registry row not decodable', {
      target: key,
      reason,
      value: value.slice(0, MAXIMUM_LOGGED_CHARACTERS),
    });
  }

  #removeAbsent(rows: readonly Row[]): void {
    const { fleet } = this.#context;
    const present = new Set(rows.map((row) => row.key));
    for (const target of [...fleet.targets]) {
      if (!present.has(target.id)) this.#remove(target.id);
    }
  }

  #remove(id: string): void {
    const { clock, fleet, logger, reconciliation } = this.#context;
    reconciliation.recordAbsence(id, clock.now);
    const isRegistered = fleet.find(id)?.isRegistered === true;
    const target = fleet.unregister(id);
    if (!isRegistered || target === undefined) return;
    target.unregisteredAt = clock.now;
    logger.writeInfo('target unregistered', { target: id });
  }

  /** Registers a target; one that a snapshot contains may have runs of an earlier term. */
  #register(entry: TargetEntry, isSnapshot: boolean): void {
    const { fleet, reconciliation, term } = this.#context;
    const { id, service, vm, bornAt } = entry;
    this.#recordEntry(entry);
    const isNew = fleet.find(id) === undefined;
    // An awaited target may have restarted since the snapshot.
    const isAwaited = (isSnapshot && isNew) || reconciliation.findExpected(id) !== undefined;
    const leasesExpireAt = isAwaited ? this.#computeLeaseExpiry(entry) : 0;
    const target = fleet.register(entry, leasesExpireAt);
    if (target === undefined) return;
    target.registeredAt = this.#context.clock.now;
    // A snapshot also repeats entries whose heartbeats were written long before.
    if (!isSnapshot) target.heartbeatAt = this.#context.clock.now;
    if (isNew) target.closedBornAt = this.#findClosedIncarnation(target);
    // Starts that the predecessor sent and that were left unanswered are not known.
    if (isNew && term.predecessor !== undefined)
      target.expectLateCall(reconciliation.predecessorDeposedAt);
    if (isAwaited) {
      target.leasesExpireAt = Math.max(target.leasesExpireAt, leasesExpireAt);
      reconciliation.expectReport({ id, service, vm, bornAt }, leasesExpireAt);
    }
    if (isNew) this.#writeRegistered(target);
  }

  /** Awaits no target of an earlier term any more that has ended, since a later one is on its VM. */
  #recordEntry(entry: TargetEntry): void {
    const { logger, reconciliation } = this.#context;
    for (const target of reconciliation.recordEntry(entry)) {
      logger.writeInfo('target replaced on its VM', { target, by: entry.id, vm: entry.vm ?? '' });
    }
  }

  /** Finds the incarnation of a new target that no call of the past reaches: the first one is such. */
  #findClosedIncarnation({ id, entry, fence }: TargetRecord): number | undefined {
    const expected = this.#context.reconciliation.findExpected(id);
    if (expected !== undefined) return expected.closedBornAt;
    return fence.isClosed ? entry.bornAt : undefined;
  }

  /**
   * Computes when the leases of earlier owners on a target have expired. On one that has started lately, a
   * call that was meant for its former incarnation may have granted the longest lease, and may do so
   * until an owner has closed the fence.
   */
  #computeLeaseExpiry({ id, bornAt }: TargetEntry): number {
    const { clock, reconciliation, term } = this.#context;
    const { deadline, predecessorDeposedAt } = reconciliation;
    const maximumLeaseMs = computeMaximumLeaseMs(this.#context);
    const youngMs = maximumLeaseMs + LATEST_EXECUTION_MS + WALL_CLOCK_TOLERANCE_MS;
    const remainingMs = youngMs - (getWallNow() - bornAt);
    if (term.predecessor === undefined || remainingMs <= 0) return deadline;
    const expected = reconciliation.findExpected(id);
    // An earlier owner records a target before it gives it any work.
    const isClosed = expected === undefined || expected.closedBornAt === bornAt;
    const waitMs = isClosed ? maximumLeaseMs : MAXIMUM_POOL_WAIT_MS;
    const foreignEnd = predecessorDeposedAt + waitMs;
    return Math.max(deadline, Math.min(foreignEnd, clock.now + remainingMs));
  }

  #writeRegistered(target: TargetRecord): void {
    const { service, dataCentre, address } = target.entry;
    this.#context.logger.writeInfo('target registered', {
      target: target.id,
      service,
      dataCentre,
      address,
      rack: target.rack,
    });
  }
}
