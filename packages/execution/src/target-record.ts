import { TargetState, type TargetEntry } from '@currantgap/model';
import type { Attempt, TaskRun } from '@currantgap/jobs';
import { getFootprint, ResourceSum, TargetHealth } from '@currantgap/scheduling';
import type { TargetAddress, TargetReport } from './ports.ts';
import { LATEST_EXECUTION_MS } from './call-timing.ts';
import { IncarnationFence } from './incarnation-fence.ts';
import { RosterState } from './roster-state.ts';

/** Lowest rate of a target's monotonic clock relative to this node's, as the protocol guarantees. */
export const MINIMUM_CLOCK_RATE = 0.98;

/** A run and its task. */
export interface Assignment {
  readonly task: TaskRun;
  readonly attempt: Attempt;
}

/** The owner's state of one target. Times are milliseconds on this node's monotonic clock. */
export class TargetRecord {
  #entry: TargetEntry;
  /** Incarnations whose end was announced, Unix milliseconds of their start. */
  readonly #announcedEnds = new Set<number>();
  /** Whether the registry has an entry for the target. */
  isRegistered = true;
  /** Time at which the registry's entry was last read. */
  registeredAt = -Infinity;
  /** Time at which the registry last told of a heartbeat. */
  heartbeatAt = -Infinity;
  /** Time at which the registry's entry was last found removed; undefined if it never was. */
  unregisteredAt: number | undefined;
  /**
   * Time from which the incarnation in the registry is presumed to have ended, although its entry is
   * still there; undefined if it is not.
   */
  endPresumedAt: number | undefined;
  /** Start of the incarnation that sent the last report, Unix milliseconds. */
  bornAt: number | undefined;
  /**
   * Start of the last incarnation on which no call of the past could take effect any more, Unix
   * milliseconds; undefined if it is not known.
   */
  closedBornAt: number | undefined;
  /** Time of the last report of this term; undefined before the first. */
  reportedAt: number | undefined;
  /** Highest sequence of ended runs that are stored in the ledger and so acknowledged. */
  acknowledgedThrough = 0;
  /** Highest sequence of ended runs that the target knows to be acknowledged. */
  confirmedThrough = 0;
  /** Highest sequence of ended runs that have been applied. */
  appliedThrough = 0;
  /** Whether the last report listed ended runs that could not be applied yet. */
  hasUnappliedEnds = false;
  /** Names of the tasks that the last report listed as active and whose jobs were not known yet. */
  unknownTasks: ReadonlySet<string> = new Set();
  /** Names of the tasks whose ended runs the last report listed and that could not be applied yet. */
  unappliedTasks: ReadonlySet<string> = new Set();
  /** Whether a lease renewal awaits its answer. */
  isRenewalInFlight = false;
  /** Number of the last renewal that was sent. */
  renewal = 0;
  /** Time by which the renewal in flight should have been answered. */
  renewalDueAt = 0;
  /** Renewals in a row that were sent because an earlier one was overdue. */
  overdueRenewals = 0;
  /** No lease renewal is sent before this time. */
  renewNotBefore = 0;
  /** No lease renewal is sent before this time, because ended runs wait for the ledger. */
  retryAcknowledgementAt = 0;
  /** Calls without an answer since the last report; the target counts as silent unless 0. */
  unansweredCalls = 0;
  /** Stops that await their answers. */
  unansweredStops = 0;
  /** What a successor would learn from the roster about the target. */
  rosterState = RosterState.Absent;
  /** The target gets no new work before this time. */
  blockedUntil = 0;
  /** Whether the target's VM is being emptied for maintenance or a move, so it gets no new work. */
  isCordoned = false;
  /** Time until which the target, or its next incarnation, may carry out a start that was left unanswered. */
  lateCallsUntil = -Infinity;
  /** Time after which all leases granted so far have expired. */
  leasesExpireAt: number;
  /** Time after which all leases have expired that this owner has granted, on the incarnation that it knew. */
  grantsExpireAt = -Infinity;
  /** Time at which this owner last granted a lease; undefined before the first. */
  leaseGrantedAt: number | undefined;
  /** Current pace of the target's fillers, percent of full speed. */
  pace = 100;
  paceChangedAt = 0;
  /** Time at which the target was first seen draining. */
  drainingSince: number | undefined;
  /** Keeps calls that were meant for a former incarnation from taking effect. */
  readonly fence: IncarnationFence;
  /** Resources reserved by assigned runs. */
  readonly used = new ResourceSum();
  readonly health = new TargetHealth();
  readonly #assignments = new Map<string, Assignment>();
  #clockMs = 0;
  #clockReadAt = 0;
  /** Whether the current incarnation may hold a lease by a grant that was not meant for it. */
  #mayHoldForeignGrant = false;

  /** `token` is the fencing token of the owner's term. */
  constructor(entry: TargetEntry, leasesExpireAt: number, token: number) {
    this.fence = new IncarnationFence(token);
    this.#entry = entry;
    this.entry = entry;
    this.leasesExpireAt = leasesExpireAt;
  }

  /** The target's last registration. */
  get entry(): TargetEntry {
    return this.#entry;
  }

  set entry(entry: TargetEntry) {
    this.#entry = entry;
    if (entry.state === TargetState.Draining) this.announceEnd();
  }

  /** Records that the registered incarnation will end as planned. */
  announceEnd(): void {
    this.#announcedEnds.add(this.#entry.bornAt);
  }

  /** Whether the end of an incarnation was announced, even if another one has registered since. */
  hasAnnouncedEnd(bornAt: number): boolean {
    return this.#announcedEnds.has(bornAt);
  }

  get id(): string {
    return this.entry.id;
  }

  get capacity(): TargetEntry['capacity'] {
    return this.entry.capacity;
  }

  get labels(): readonly string[] {
    return this.entry.labels;
  }

  /** Rack of the target, which the protocol defines as the second label. */
  get rack(): string {
    return this.entry.labels[1] ?? '';
  }

  get slowness(): number {
    return this.health.slowness;
  }

  get address(): TargetAddress {
    const { id, address, dataCentre } = this.entry;
    return { id, address, dataCentre };
  }

  get assignments(): Iterable<Assignment> {
    return this.#assignments.values();
  }

  /** Whether all runs on the target are known: those of earlier terms from a report of this term. */
  get areRunsKnown(): boolean {
    return this.reportedAt !== undefined && this.unknownTasks.size === 0;
  }

  /** Whether the target has listed all assigned runs, and so was alive after their starts. */
  get areRunsListed(): boolean {
    for (const { attempt } of this.#assignments.values()) if (!attempt.isListed) return false;
    return true;
  }

  get hasPersistent(): boolean {
    for (const { task } of this.#assignments.values()) {
      if (task.step.definition.isPersistent) return true;
    }
    return false;
  }

  get assignmentCount(): number {
    return this.#assignments.size;
  }

  /** Whether the target's clock has been read. */
  get hasClock(): boolean {
    return this.#clockReadAt > 0;
  }

  /**
   * Whether an answer to a request of `sentAt` may be of an incarnation that has ended: the registry has shown a
   * later one since.
   */
  isSuperseded({ bornAt }: Pick<TargetReport, 'bornAt'>, sentAt: number): boolean {
    return bornAt !== undefined && bornAt < this.entry.bornAt && sentAt <= this.registeredAt;
  }

  /** Records that the registry shows an incarnation that has seen no token: a renewal sent before is not awaited. */
  recordRegisteredRestart(): void {
    this.fence.open();
    this.isRenewalInFlight = false;
    this.renewNotBefore = 0;
    this.retryAcknowledgementAt = 0;
  }

  /** Records that a start which was sent at a time got no answer. */
  expectLateCall(startedAt: number): void {
    this.lateCallsUntil = Math.max(this.lateCallsUntil, startedAt + LATEST_EXECUTION_MS);
  }

  /** Whether the target accepts new work, which a fence that is not closed forbids, regardless of its free capacity. */
  isOpen(now: number): boolean {
    return (
      this.isRegistered &&
      this.areRunsKnown &&
      this.entry.state === TargetState.Ready &&
      !this.isCordoned &&
      this.unansweredCalls === 0 &&
      this.fence.isClosed &&
      this.rosterState === RosterState.Listed &&
      now >= this.blockedUntil &&
      !this.health.isSuspect(now)
    );
  }

  /**
   * Whether the target has reported a later state than this report: a later reading of the same clock, or
   * another incarnation than the one that was known when the report was requested.
   */
  isOutdated(
    { clockMs, bornAt }: Pick<TargetReport, 'clockMs' | 'bornAt'>,
    knownBornAt: number | undefined,
  ): boolean {
    if (bornAt === undefined) return false;
    if (bornAt === this.bornAt) return clockMs < this.#clockMs;
    return this.bornAt !== knownBornAt;
  }

  /** Records a reading of the target's clock. */
  recordClock(clockMs: number, now: number): void {
    this.#clockMs = clockMs;
    this.#clockReadAt = now;
  }

  /**
   * Computes a deadline on the target's clock, `leaseMs` from now, and extends `leasesExpireAt` to
   * the latest time at which the target can reach it.
   */
  grantLease(leaseMs: number, now: number): number {
    const elapsedMs = now - this.#clockReadAt;
    const deadline = this.#clockMs + elapsedMs * MINIMUM_CLOCK_RATE + leaseMs;
    // Latest expiry, reached if the target's clock has run at its minimum rate since the reading.
    const leaseExpiresAt = this.#clockReadAt + (deadline - this.#clockMs) / MINIMUM_CLOCK_RATE;
    this.leasesExpireAt = Math.max(this.leasesExpireAt, leaseExpiresAt);
    this.grantsExpireAt = Math.max(this.grantsExpireAt, leaseExpiresAt);
    this.leaseGrantedAt = now;
    return deadline;
  }

  /**
   * Computes the time after which no incarnation holds a lease by a grant that this owner has sent, even if
   * another one than it was meant for has carried it out. Its clock may be far behind, so it gets the
   * longest lease, `maximumLeaseMs` on this node's clock.
   */
  computeForeignLeaseEnd(maximumLeaseMs: number): number {
    return (this.leaseGrantedAt ?? -Infinity) + LATEST_EXECUTION_MS + maximumLeaseMs;
  }

  /** Records that the target may hold a lease, or get one, by a grant that was not meant for its incarnation. */
  expectForeignGrant(maximumLeaseMs: number, now: number): void {
    this.#mayHoldForeignGrant = true;
    const leaseEnd = Math.max(this.computeForeignLeaseEnd(maximumLeaseMs), now + maximumLeaseMs);
    this.leasesExpireAt = Math.max(this.leasesExpireAt, leaseEnd);
  }

  /** Records that the fence is closed, so that the target gets no such grant from now on. */
  limitForeignGrants(maximumLeaseMs: number, now: number): void {
    if (!this.#mayHoldForeignGrant) return;
    this.#mayHoldForeignGrant = false;
    this.leasesExpireAt = now + maximumLeaseMs;
  }

  /**
   * Records that a report lists active runs. If all leases that this owner knows of are over, these
   * runs hold another one, which lasts `leaseMs` at most.
   */
  recordActiveRuns(leaseMs: number, now: number): void {
    if (this.leasesExpireAt <= now) this.leasesExpireAt = now + leaseMs;
  }

  /** Assigns a run and reserves its resources. */
  assign(task: TaskRun, attempt: Attempt): void {
    this.#assignments.set(getKey(task.name, attempt.run), { task, attempt });
    this.used.add(getFootprint(task.step.definition));
  }

  /** Removes a run and releases its resources; undefined if it was not assigned. */
  unassign(taskName: string, run: number): Assignment | undefined {
    const key = getKey(taskName, run);
    const assignment = this.#assignments.get(key);
    if (assignment === undefined) return undefined;
    this.#assignments.delete(key);
    this.used.remove(getFootprint(assignment.task.step.definition));
    return assignment;
  }

  find(taskName: string, run: number): Assignment | undefined {
    return this.#assignments.get(getKey(taskName, run));
  }
}

function getKey(taskName: string, run: number): string {
  return `${taskName}#${run}`;
}
