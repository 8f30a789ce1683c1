import type { TargetEntry } from '@currantgap/model';
import type { LeasedTarget } from '@currantgap/ownership';
import type { Clock } from '@currantgap/tasks';
import { AwaitedTarget } from './awaited-target.ts';
import {
  LATEST_EXECUTION_MS,
  MAXIMUM_CALL_AGE_MS,
  MAXIMUM_POLL_MS,
  MAXIMUM_POOL_WAIT_MS,
  MAXIMUM_WAIT_MS,
} from './call-timing.ts';
import { PendingRuns } from './pending-runs.ts';
import type { PoolArrivals } from './pool-arrivals.ts';

/** Milliseconds after which a predecessor that still runs has learnt from a target that it is deposed. */
const DEPOSITION_NOTICE_MS = 1_000;

/** Milliseconds after a start without an answer until when the target may have been sent grants: it is silent then. */
const LAST_GRANT_MS = MAXIMUM_CALL_AGE_MS + MAXIMUM_POLL_MS;

/** Options of a reconciliation; times are milliseconds on this node's clock. */
export interface ReconciliationOptions {
  /** Longest lease of earlier terms on the incarnation that it was granted to. */
  readonly leaseMs: number;
  /** Longest lease that a target grants at all. */
  readonly maximumLeaseMs: number;
  /** Start of this term. */
  readonly now: number;
  readonly arrivals: Pick<PoolArrivals, 'lastArrivalAt'>;
  readonly clock: Pick<Clock, 'now'>;
  /** Gets the latest time that the store's clock may show now, in milliseconds; undefined if it is not known. */
  readonly getLatestStoreTime: () => number | undefined;
}

/** The targets whose reports are pending at one time. */
interface PendingList {
  readonly now: number;
  readonly lastArrivalAt: number;
  readonly pending: PendingRuns;
}

/**
 * Decides when a new owner may start tasks without duplicating runs of earlier terms. The runs that
 * a predecessor started are known once every target on which it may hold leases has reported under
 * the new fencing token. If a target does not answer, the owner waits until every lease of earlier
 * terms has expired. A silent target delays only its own pool. If the predecessor had already
 * recorded it as silent, it delays only the tasks that were assigned to it. A target whose report
 * was cut off is awaited for as long as it has leases: its further ends may be those of any task.
 */
export class Reconciliation {
  /** Longest time in milliseconds, on this node's clock, for which a lease of an earlier term lasts. */
  readonly leaseMs: number;
  readonly #options: ReconciliationOptions;
  readonly #pending = new Map<string, AwaitedTarget>();
  /** Latest target that is known on each VM. */
  readonly #latestOnVm = new Map<string, Pick<TargetEntry, 'id' | 'bornAt'>>();
  /** Services of targets that have reported, but not all of their ended runs, by target id. */
  readonly #partial = new Map<string, string>();
  readonly #deadline: number;
  /** What was listed last: a plan asks for each task at the same time. */
  #listed: PendingList | undefined;
  /** Monotonic time from which a predecessor that still runs knows that it is deposed. */
  readonly predecessorDeposedAt: number;

  constructor(options: ReconciliationOptions) {
    this.#options = options;
    this.leaseMs = options.leaseMs;
    this.predecessorDeposedAt = options.now + DEPOSITION_NOTICE_MS;
    this.#deadline = this.predecessorDeposedAt + options.leaseMs;
  }

  /**
   * Monotonic time, in milliseconds, after which every lease of earlier terms has expired that the
   * incarnations hold to which it was granted.
   */
  get deadline(): number {
    return this.#deadline;
  }

  /**
   * Waits for a target that a roster of an earlier term or the registry lists, until a monotonic time at
   * which its leases of earlier terms have expired. One whose VM has a later target needs no wait.
   */
  expectReport(target: LeasedTarget, leasesExpireAt = this.#deadline): void {
    const { id, vm = '', bornAt = Infinity } = target;
    const latest = this.#latestOnVm.get(vm);
    if (latest !== undefined && latest.id !== id && latest.bornAt > bornAt) return;
    this.#listed = undefined;
    const awaited = this.#pending.get(id) ?? this.#createAwaited(target);
    this.#pending.set(id, awaited);
    awaited.extendLeases(leasesExpireAt);
  }

  /** Records an entry of the registry; returns the ids of awaited targets that it shows to have ended. */
  recordEntry({ id, vm, bornAt }: TargetEntry): readonly string[] {
    this.#pending.get(id)?.recordPresence();
    if (vm === undefined || vm === '') return [];
    if (bornAt > (this.#latestOnVm.get(vm)?.bornAt ?? -Infinity))
      this.#latestOnVm.set(vm, { id, bornAt });
    const ended = [...this.#pending.values()]
      .filter((awaited) => awaited.isReplacedBy(id, vm, bornAt))
      .map(({ description }) => description.id);
    for (const endedId of ended) this.recordReport(endedId);
    return ended;
  }

  /** Records that the registry has no entry of a target. */
  recordAbsence(targetId: string, now: number): void {
    this.#pending.get(targetId)?.recordAbsence(now);
  }

  /** Records that the registry has entries of these targets alone. */
  recordAbsentOthers(targetIds: ReadonlySet<string>, now: number): void {
    for (const [id, awaited] of this.#pending) {
      if (!targetIds.has(id)) awaited.recordAbsence(now);
    }
  }

  /** Finds what earlier terms have recorded of a target that has not reported yet. */
  findExpected(targetId: string): LeasedTarget | undefined {
    return this.#pending.get(targetId)?.description;
  }

  /** Records that a target has reported all its runs under the new token; true if it was awaited. */
  recordReport(targetId: string): boolean {
    this.#listed = undefined;
    const isCompleted = this.#partial.delete(targetId);
    return this.#pending.delete(targetId) || isCompleted;
  }

  /** Records that the first report of a target under the new token does not list all ended runs. */
  recordPartialReport(targetId: string, service: string): void {
    this.recordReport(targetId);
    this.#partial.set(targetId, service);
  }

  /** Whether a target has reported, but not all of its ended runs. */
  isPartlyReported(targetId: string): boolean {
    return this.#partial.has(targetId);
  }

  /** Lists the ids of the targets that have not listed all ended runs yet. */
  listPartial(): readonly string[] {
    return [...this.#partial.keys()];
  }

  /**
   * Whether a task that was accepted in an earlier term and that no target has reported may start.
   * `services` are all those on whose targets it may have been started.
   */
  canStartInherited(
    taskName: string,
    services: readonly string[],
    now: number,
    isPersistent = false,
  ): boolean {
    // A report lists all active runs, and the end of one does not end a persistent task.
    if (isPersistent) return !this.canBeRunning(taskName, services, now);
    if (this.#isPoolPartlyReported(services)) return false;
    return !this.getPending(now).isAwaited(taskName, services, false);
  }

  /**
   * Whether such a task may be running on a target that has not reported. One that is gone runs nothing by
   * the protocol, although the leases of its last incarnation may not be over.
   */
  canBeRunning(taskName: string, services: readonly string[], now: number): boolean {
    return this.getPending(now).isAwaited(taskName, services, true);
  }

  /** Whether no task of these services that was accepted in an earlier term may start. */
  isPoolAwaited(services: readonly string[], now: number, isPersistent: boolean): boolean {
    if (!isPersistent && this.#isPoolPartlyReported(services)) return true;
    return this.getPending(now).isAnyAwaited(services, isPersistent);
  }

  /**
   * Whether a task that was accepted in this term may start. Until a predecessor that can still
   * read the store knows that it is deposed, it sees the same submissions and starts them on
   * targets that have not seen the new token.
   */
  canStartNew(services: readonly string[], now: number): boolean {
    if (this.#isPoolPartlyReported(services)) return false;
    if (now >= this.predecessorDeposedAt) return true;
    return !this.listPending(now).some(({ service }) => services.includes(service));
  }

  /**
   * Lists the targets whose report is pending; empty once their leases have expired. For starts that a target
   * may carry out late, this takes longer: it is listed with their tasks alone.
   */
  listPending(now: number): readonly LeasedTarget[] {
    return this.getPending(now).targets;
  }

  /** Gets the same targets by the tasks that they may run. */
  getPending(now: number): PendingRuns {
    const { lastArrivalAt } = this.#options.arrivals;
    if (this.#listed?.now === now && this.#listed.lastArrivalAt === lastArrivalAt)
      return this.#listed.pending;
    const isOutageOver = ({ id }: LeasedTarget, task?: string): boolean =>
      this.#pending.get(id)?.isOutageOver(now, task) === true;
    const pending = new PendingRuns(this.#buildPending(now), isOutageOver);
    this.#listed = { now, lastArrivalAt, pending };
    return pending;
  }

  #buildPending(now: number): readonly LeasedTarget[] {
    const computeEnd = (startedAt: number): number => this.#computeLateEnd(startedAt);
    const isWaitOver = now >= Math.max(this.#deadline, this.#computeWaitEnd());
    // Its own start does not prolong the wait for a target that is gone.
    const isLate = (awaited: AwaitedTarget): boolean => !(isWaitOver && awaited.isGone(now));
    return [...this.#pending.values()].flatMap((awaited) => {
      const { description } = awaited;
      if (awaited.isLeased(now) && !isWaitOver) return [description];
      const tasks = isLate(awaited) ? awaited.listLateTasks(now, computeEnd) : [];
      return tasks.length > 0 ? [{ ...description, tasks, unanswered: tasks }] : [];
    });
  }

  /**
   * Computes when a start of an earlier term that was not answered keeps its task no longer: no incarnation holds
   * a lease by it any more, or callers' bound for a task that waits is reached.
   */
  #computeLateEnd(startedAt: number): number {
    const grantedAt = Math.min(startedAt + LAST_GRANT_MS, this.predecessorDeposedAt);
    const leaseEnd = grantedAt + LATEST_EXECUTION_MS + this.#options.maximumLeaseMs;
    return Math.min(leaseEnd, this.#computeWaitEnd(startedAt));
  }

  /** Computes until when callers let a task wait, one of whose starts may have been sent at a time. */
  #computeWaitEnd(startedAt = -Infinity): number {
    const { arrivals, now } = this.#options;
    const { lastArrivalAt } = arrivals;
    const waitEnd = Math.max(startedAt, lastArrivalAt) + MAXIMUM_WAIT_MS;
    if (lastArrivalAt > now) return waitEnd;
    // Before the jobs are read, no submission of an earlier term is known.
    const poolWaitEnd = this.predecessorDeposedAt + MAXIMUM_POOL_WAIT_MS;
    return Number.isFinite(lastArrivalAt) ? Math.min(waitEnd, poolWaitEnd) : poolWaitEnd;
  }

  #createAwaited(target: LeasedTarget): AwaitedTarget {
    const { clock, getLatestStoreTime } = this.#options;
    const { predecessorDeposedAt, deadline } = this;
    const timing = {
      now: clock.now,
      storeNow: getLatestStoreTime(),
      predecessorDeposedAt,
      deadline,
    };
    return new AwaitedTarget(target, timing);
  }

  #isPoolPartlyReported(services: readonly string[]): boolean {
    return [...this.#partial.values()].some((service) => services.includes(service));
  }
}
