import type { Attempt, TaskRun } from '@currantgap/jobs';
import { LATEST_EXECUTION_MS, MAXIMUM_WAIT_FOR_GONE_MS } from './call-timing.ts';
import { computeMaximumLeaseMs, type OwnerContext } from './context.ts';
import type { TargetRecord } from './target-record.ts';

/** Milliseconds within which the entry of a target that is up returns to the registry, as the protocol says. */
const REGISTRATION_RETURN_MS = 2_000;
/** Decides what starts without an answer may still do, so that no task runs twice. */
export class LateStarts {
  readonly #context: OwnerContext;

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /**
   * Whether a start that a silent target has not answered can begin no run any more, and whether one that it
   * has begun is over: another incarnation that carries it out holds the lease of any call of the past.
   */
  isWithoutEffect(target: TargetRecord, { startedAt, bornAt }: Attempt): boolean {
    const { clock } = this.#context;
    if (this.#context.fleet.isReplaced(target)) return true;
    if (this.#isGone(target) && clock.now > startedAt + MAXIMUM_WAIT_FOR_GONE_MS) return true;
    const isSameIncarnation = target.isRegistered && target.entry.bornAt === bornAt;
    if (isSameIncarnation && target.registeredAt > startedAt + LATEST_EXECUTION_MS) return true;
    return clock.now > target.computeForeignLeaseEnd(computeMaximumLeaseMs(this.#context));
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
    if (!this.#isOver(targetId, startedAt)) return targetId;
    task.lateStart = undefined;
    return undefined;
  }

  #isOver(targetId: string, startedAt: number): boolean {
    const { clock, fleet } = this.#context;
    const executedBefore = startedAt + LATEST_EXECUTION_MS;
    if (clock.now < executedBefore) return false;
    if (clock.now >= executedBefore + computeMaximumLeaseMs(this.#context)) return true;
    const target = fleet.find(targetId);
    const isGone = target === undefined || this.#isGone(target);
    if (isGone) return clock.now > startedAt + MAXIMUM_WAIT_FOR_GONE_MS;
    // A report since then would have listed the run.
    return fleet.isReplaced(target) || (target.reportedAt ?? 0) > executedBefore;
  }

  #isGone({ isRegistered, unregisteredAt }: TargetRecord): boolean {
    if (isRegistered || unregisteredAt === undefined) return false;
    return this.#context.clock.now > unregisteredAt + REGISTRATION_RETURN_MS;
  }
}
