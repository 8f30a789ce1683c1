import { AttemptPhase } from '@currantgap/jobs';
import { TargetState } from '@currantgap/model';
import type { OwnerContext } from './context.ts';
import { DisruptionSurvey } from './disruption-budget.ts';
import type { RunOrders } from './run-orders.ts';
import type { Assignment, TargetRecord } from './target-record.ts';

/** Moves work away from targets that are draining. */
export class Drainer {
  readonly #context: OwnerContext;
  readonly #orders: RunOrders;

  constructor(context: OwnerContext, orders: RunOrders) {
    this.#context = context;
    this.#orders = orders;
  }

  /**
   * Stops persistent tasks on draining targets, as fast as their disruption budgets allow and in any
   * case before the target is gone, and checkpointing tasks that would not end in the remaining time.
   */
  sweep(): void {
    const survey = new DisruptionSurvey(this.#context, { countsDraining: false });
    for (const target of this.#context.fleet.targets) {
      if (target.entry.state !== TargetState.Draining) continue;
      target.drainingSince ??= this.#context.clock.now;
      for (const assignment of [...target.assignments])
        this.#stopIfNeeded(target, assignment, survey);
    }
  }

  #stopIfNeeded(target: TargetRecord, assignment: Assignment, survey: DisruptionSurvey): void {
    const { clock, durations, bounds } = this.#context;
    const { task, attempt } = assignment;
    if (attempt.phase !== AttemptPhase.Running) return;
    const step = task.step.definition;
    const drainingMs = clock.now - (target.drainingSince ?? clock.now);
    const remainingDrainMs = (target.entry.remainingMs ?? 0) - drainingMs;
    const isLeavingSoon = remainingDrainMs < bounds.stopMs * 2;
    if (step.isPersistent) {
      if (isLeavingSoon || survey.canStop(assignment)) {
        survey.recordStop(assignment);
        this.#orders.stop(assignment, 'target drains');
      }
      return;
    }
    if (!step.isCheckpointing || !isLeavingSoon) return;
    const elapsedMs = clock.now - attempt.startedAt;
    const { route } = task.step.job.stored;
    const remainingTaskMs = durations.estimateRemainingMs(route, step, elapsedMs);
    if (remainingTaskMs > remainingDrainMs) this.#orders.stop(assignment, 'target drains');
  }
}
