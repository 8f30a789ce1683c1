import type { LeasedTarget } from '@currantgap/ownership';
import { MAXIMUM_OUTAGE_MS, REGISTRATION_RETURN_MS } from './call-timing.ts';

/** Milliseconds by which a time on the store's clock may be off on another node: the fastest request of each takes less. */
const STORE_CLOCK_MARGIN_MS = 100;

/** What a new owner counts with; times are milliseconds on its monotonic clock. */
export interface TermTiming {
  readonly now: number;
  /** Time from which the predecessor sends nothing any more. */
  readonly predecessorDeposedAt: number;
  /** Time after which the leases are over that the predecessor may have granted. */
  readonly deadline: number;
  /** Time that the store's clock shows at `now`; undefined if it is not known. */
  readonly storeNow: number | undefined;
}

/** A target of an earlier term that has not reported yet. Times are milliseconds on this node's clock. */
export class AwaitedTarget {
  /** What earlier terms have recorded of the target. */
  readonly description: LeasedTarget;
  /** Time after which the leases are over that earlier terms have granted to the incarnation that they knew. */
  readonly #grantsEndAt: number;
  /** Times at which the starts were sent that it did not answer, by task. */
  readonly #startedAt: ReadonlyMap<string, number>;
  /** Time after which all leases on the target are over but for those of late starts. */
  #leasesExpireAt: number;
  /** Time from which the registry has had no entry of the target; undefined if it has one. */
  #absentSince: number | undefined;

  constructor(target: LeasedTarget, timing: TermTiming) {
    const { now, storeNow, deadline, predecessorDeposedAt } = timing;
    const toLocal = (storeTime: number): number =>
      storeNow === undefined ? Infinity : now + storeTime - storeNow + STORE_CLOCK_MARGIN_MS;
    // Rows of earlier versions do not tell these tasks apart.
    const { tasks = [], unanswered = tasks } = target;
    this.#grantsEndAt = deadline;
    this.#leasesExpireAt = deadline;
    const starts = unanswered.map((task) => {
      const startedAt = toLocal(target.startedAt?.[task] ?? Infinity);
      return [task, Math.min(startedAt, predecessorDeposedAt)] as const;
    });
    this.#startedAt = new Map(starts);
    this.description =
      storeNow === undefined || starts.length === 0
        ? target
        : { ...target, startedAt: addMissingTimes(target, starts, storeNow - now) };
  }

  /** Records that the leases on the target may last until a time. */
  extendLeases(until: number): void {
    this.#leasesExpireAt = Math.max(this.#leasesExpireAt, until);
  }

  /** Records that the registry has no entry of the target. */
  recordAbsence(now: number): void {
    this.#absentSince ??= now;
  }

  /** Records that the registry has an entry of the target. */
  recordPresence(): void {
    this.#absentSince = undefined;
  }

  /** Whether the target is gone by the protocol, and the leases are over that it was granted. */
  isGone(now: number): boolean {
    if (this.#absentSince === undefined) return false;
    return now > Math.max(this.#grantsEndAt, this.#absentSince + REGISTRATION_RETURN_MS);
  }

  /** Whether a later target on the VM shows that this one has ended. */
  isReplacedBy(id: string, vm: string, bornAt: number): boolean {
    const { description } = this;
    if (description.vm !== vm || description.id === id) return false;
    return description.bornAt !== undefined && description.bornAt < bornAt;
  }

  /** Whether the target may still hold a lease other than by a late start. */
  isLeased(now: number): boolean {
    return now < this.#leasesExpireAt;
  }

  /**
   * Lists the tasks whose starts the target may still carry out, or have carried out late; `computeEnd` computes
   * when that is over from the time of the start.
   */
  listLateTasks(now: number, computeEnd: (startedAt: number) => number): readonly string[] {
    const starts = [...this.#startedAt];
    return starts.filter(([, startedAt]) => now < computeEnd(startedAt)).map(([task]) => task);
  }

  /**
   * Whether a persistent task, or any one of whose start is not known if there is no name, waits for the target no
   * longer: it is gone, and so are the leases that it was granted.
   */
  isOutageOver(now: number, task = ''): boolean {
    const outageEndsAt = (this.#startedAt.get(task) ?? -Infinity) + MAXIMUM_OUTAGE_MS;
    return this.isGone(now) && now > outageEndsAt;
  }
}

/** Adds the times that are not known on the store's clock, so that the next owner counts from the same ones. */
function addMissingTimes(
  { startedAt }: LeasedTarget,
  starts: readonly (readonly [string, number])[],
  storeOffsetMs: number,
): Readonly<Record<string, number>> {
  const known = startedAt ?? {};
  return Object.fromEntries(
    starts.map(([task, at]) => [task, known[task] ?? Math.round(at + storeOffsetMs)]),
  );
}
