import type { LeasedTarget } from '@currantgap/ownership';
import { LATEST_EXECUTION_MS, MAXIMUM_POOL_WAIT_MS } from './call-timing.ts';
import type { PoolArrivals } from './pool-arrivals.ts';

/** Milliseconds after which a predecessor that still runs has learnt from a target that it is deposed. */
const DEPOSITION_NOTICE_MS = 1_000;

/** A target of an earlier term that has not reported yet. */
interface PendingReport {
  readonly target: LeasedTarget;
  /** Monotonic time at which its leases of earlier terms have expired, in milliseconds. */
  readonly leasesExpireAt: number;
}

/** Options of a reconciliation; times are milliseconds on this node's clock. */
export interface ReconciliationOptions {
  /** Longest lease of earlier terms on the incarnation that it was granted to. */
  readonly leaseMs: number;
  /** Longest lease that a target grants at all. */
  readonly maximumLeaseMs: number;
  /** Start of this term. */
  readonly now: number;
  readonly arrivals: Pick<PoolArrivals, 'lastArrivalAt'>;
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
  readonly #maximumLeaseMs: number;
  readonly #arrivals: ReconciliationOptions['arrivals'];
  readonly #pending = new Map<string, PendingReport>();
  /** Services of targets that have reported, but not all of their ended runs, by target id. */
  readonly #partial = new Map<string, string>();
  readonly #deadline: number;
  /** Monotonic time from which a predecessor that still runs knows that it is deposed. */
  readonly predecessorDeposedAt: number;

  constructor({ leaseMs, maximumLeaseMs, now, arrivals }: ReconciliationOptions) {
    this.leaseMs = leaseMs;
    this.#arrivals = arrivals;
    this.#maximumLeaseMs = maximumLeaseMs;
    this.predecessorDeposedAt = now + DEPOSITION_NOTICE_MS;
    this.#deadline = this.predecessorDeposedAt + leaseMs;
  }

  /**
   * Monotonic time, in milliseconds, after which every lease of earlier terms has expired that the
   * incarnations hold to which it was granted.
   */
  get deadline(): number {
    return this.#deadline;
  }

  /**
   * The same for starts without an answer that another incarnation carries out late. Callers' bound for a task
   * that waits ends it earlier.
   */
  get lateDeadline(): number {
    const lateLeaseEnd = this.predecessorDeposedAt + LATEST_EXECUTION_MS + this.#maximumLeaseMs;
    const waitFrom = Math.max(this.predecessorDeposedAt, this.#arrivals.lastArrivalAt);
    return Math.min(lateLeaseEnd, waitFrom + MAXIMUM_POOL_WAIT_MS);
  }

  /**
   * Waits for a target that a roster of an earlier term or the registry lists, until a monotonic time at
   * which its leases of earlier terms have expired.
   */
  expectReport(target: LeasedTarget, leasesExpireAt = this.#deadline): void {
    const known = this.#pending.get(target.id);
    this.#pending.set(target.id, {
      target: known?.target ?? target,
      leasesExpireAt: Math.max(leasesExpireAt, known?.leasesExpireAt ?? -Infinity),
    });
  }

  /** Finds what earlier terms have recorded of a target that has not reported yet. */
  findExpected(targetId: string): LeasedTarget | undefined {
    return this.#pending.get(targetId)?.target;
  }

  /** Records that a target has reported all its runs under the new token; true if it was awaited. */
  recordReport(targetId: string): boolean {
    const isCompleted = this.#partial.delete(targetId);
    return this.#pending.delete(targetId) || isCompleted;
  }

  /** Records that the first report of a target under the new token does not list all ended runs. */
  recordPartialReport(targetId: string, service: string): void {
    this.#pending.delete(targetId);
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
  canStartInherited(taskName: string, services: readonly string[], now: number): boolean {
    if (this.#isPoolPartlyReported(services)) return false;
    for (const target of this.listPending(now)) {
      if (target.tasks?.includes(taskName)) return false;
      if (target.tasks === undefined && services.includes(target.service)) return false;
    }
    return true;
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
    return [...this.#pending.values()].flatMap(({ target, leasesExpireAt }) => {
      if (now < leasesExpireAt) return [target];
      // Rows of earlier versions do not tell these tasks apart.
      const { tasks = [], unanswered = tasks } = target;
      const isLateStartPossible = unanswered.length > 0 && now < this.lateDeadline;
      return isLateStartPossible ? [{ ...target, tasks: unanswered }] : [];
    });
  }

  #isPoolPartlyReported(services: readonly string[]): boolean {
    return [...this.#partial.values()].some((service) => services.includes(service));
  }
}
