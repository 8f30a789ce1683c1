import type { TaskRun } from '@currantgap/jobs';
import {
  CALL_TIMEOUT_MS,
  LATEST_EXECUTION_MS,
  MAXIMUM_DOWNTIME_MS,
  MAXIMUM_OUTAGE_MS,
  MAXIMUM_POLL_MS,
  MAXIMUM_WAIT_MS,
  REGISTRATION_RETURN_MS,
} from './call-timing.ts';
import { computeMaximumLeaseMs, type OwnerContext } from './context.ts';
import type { Assignment, TargetRecord } from './target-record.ts';

/** Milliseconds by which a read of the registry may be behind. */
const READ_DELAY_MS = 3_000;

/** Decides what starts without an answer may still do, so that no task runs twice. */
export class LateStarts {
  readonly #context: OwnerContext;

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /**
   * Whether a start that a silent target has not answered keeps its task no longer. It can begin no run any
   * more, and one that it has begun is over: another incarnation that carries it out holds the lease of
   * any call of the past. Callers' bounds for a task that waits may end that time earlier.
   */
  isOver(target: TargetRecord, { task, attempt }: Assignment): boolean {
    const { clock, fleet } = this.#context;
    const { startedAt, bornAt } = attempt;
    if (task.step.definition.allowsDuplicates || fleet.isReplaced(target)) return true;
    const isSameIncarnation = target.isRegistered && target.entry.bornAt === bornAt;
    if (isSameIncarnation && target.heartbeatAt > startedAt + LATEST_EXECUTION_MS) return true;
    if (this.isOutageOver(target, { task, attempt }) || this.#isWaitOver(startedAt)) return true;
    // An incarnation that is known to be up has no lease any more.
    const isUpWithoutLease =
      isSameIncarnation && target.heartbeatAt > target.leasesExpireAt + READ_DELAY_MS;
    if (isUpWithoutLease && this.#isTrafficOver(startedAt)) return true;
    return clock.now > target.computeForeignLeaseEnd(computeMaximumLeaseMs(this.#context));
  }

  /**
   * Whether a task waits no longer for a target that is gone, on which it may have a run: the leases that the target
   * was granted are over. A target that the registry lacks for this long counts as gone by the protocol. A persistent
   * task waits for a while after that for a lease by a call of the past, or for a start that was not answered; any
   * other as long as callers' bound allows.
   */
  isOutageOver(target: TargetRecord, { task, attempt }: Assignment): boolean {
    const { clock, reconciliation } = this.#context;
    if (!this.#isGone(target)) return false;
    const { grantsExpireAt, leasesExpireAt, reportedAt = -Infinity } = target;
    if (!task.step.definition.isPersistent) {
      const isGrantOver = clock.now > Math.max(grantsExpireAt, reconciliation.deadline);
      return isGrantOver && this.#isTrafficOver(attempt.startedAt);
    }
    const seenAt = Math.max(reportedAt, attempt.startedAt);
    const waitEndsAt = attempt.hasBegun
      ? Math.min(leasesExpireAt, seenAt + MAXIMUM_DOWNTIME_MS)
      : attempt.startedAt + MAXIMUM_OUTAGE_MS;
    return clock.now > Math.max(grantsExpireAt, reconciliation.deadline, waitEndsAt);
  }

  /**
   * Whether a task may start on one target only: one that restarted before it answered a start of the task.
   * The present incarnation no longer carries that start out, but one that follows has seen no token, and
   * might. On the same target the task cannot run twice, since a restart ends its run there.
   */
  isBound(task: TaskRun): boolean {
    return this.#findBinding(task) !== undefined;
  }

  /** Lists those of the targets on which a task may start. */
  listAllowed(task: TaskRun, targets: readonly TargetRecord[]): readonly TargetRecord[] {
    const bound = this.#findBinding(task);
    return bound === undefined ? targets : targets.filter(({ id }) => id === bound);
  }

  /** Finds the id of the target to which a task is bound; forgets the start once it can have no effect. */
  #findBinding(task: TaskRun): string | undefined {
    const { lateStart } = task;
    if (lateStart === undefined) return undefined;
    const { targetId, startedAt } = lateStart;
    if (!this.#isBindingOver(targetId, startedAt)) return targetId;
    task.lateStart = undefined;
    return undefined;
  }

  #isBindingOver(targetId: string, startedAt: number): boolean {
    const { clock, fleet } = this.#context;
    if (fleet.isIdReplaced(targetId)) return true;
    const target = fleet.find(targetId);
    const isGone = target === undefined || this.#isGone(target);
    if (isGone && this.#isTrafficOver(startedAt)) return true;
    const executedBefore = startedAt + LATEST_EXECUTION_MS;
    if (clock.now < executedBefore) return false;
    const isLeaseOver = clock.now >= executedBefore + computeMaximumLeaseMs(this.#context);
    if (isLeaseOver || this.#isWaitOver(startedAt)) return true;
    // A report that was requested since then would have listed the run.
    const latestRequestMs = CALL_TIMEOUT_MS + MAXIMUM_POLL_MS;
    return (target?.reportedAt ?? -Infinity) > executedBefore + latestRequestMs;
  }

  /** Whether the task must wait no longer, whatever may have become of its start: callers expect it to run. */
  #isWaitOver(startedAt: number): boolean {
    const { arrivals, clock } = this.#context;
    return clock.now > Math.max(startedAt, arrivals.lastArrivalAt) + MAXIMUM_WAIT_MS;
  }

  /** Whether the same holds for a start whose target is known to run nothing, however late it was sent. */
  #isTrafficOver(startedAt: number): boolean {
    const { arrivals, clock } = this.#context;
    const { lastArrivalAt } = arrivals;
    const since = Number.isFinite(lastArrivalAt) ? lastArrivalAt : startedAt;
    return clock.now > since + MAXIMUM_WAIT_MS;
  }

  #isGone({ isRegistered, unregisteredAt }: TargetRecord): boolean {
    if (isRegistered || unregisteredAt === undefined) return false;
    return this.#context.clock.now > unregisteredAt + REGISTRATION_RETURN_MS;
  }
}
