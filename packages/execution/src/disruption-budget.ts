import { canDisrupt } from '@currantgap/fleet';
import { AttemptPhase, type Attempt, type StepRun, type TaskRun } from '@currantgap/jobs';
import { TargetState } from '@currantgap/model';
import type { OwnerContext } from './context.ts';
import type { Assignment } from './target-record.ts';

/** Progress, in percent, at which a persistent task counts as ready. */
const READY_PERCENT = 100;

/**
 * Decides in one sweep which persistent tasks the disruption budgets of their steps allow to stop. The tasks of a
 * step are counted once, since a sweep asks for each of them.
 */
export class DisruptionSurvey {
  readonly #context: OwnerContext;
  readonly #countsDraining: boolean;
  /** Number of unavailable tasks of each step that was counted. */
  readonly #unavailableCounts = new Map<StepRun, number>();

  /**
   * With `countsDraining`, ready tasks on draining targets count as unavailable, since they leave soon. Without it
   * they do not, as for tasks on draining targets themselves: each would wait for the others.
   */
  constructor(context: OwnerContext, { countsDraining }: { readonly countsDraining: boolean }) {
    this.#context = context;
    this.#countsDraining = countsDraining;
  }

  /** Whether the budget allows stopping a task. */
  canStop({ task }: Assignment): boolean {
    const { step } = task;
    const known = this.#unavailableCounts.get(step);
    const total = known ?? this.#countUnavailable(step);
    if (known === undefined) this.#unavailableCounts.set(step, total);
    const unavailableCount = this.#isAvailable(task) ? total : total - 1;
    return canDisrupt({ budget: step.definition.disruptionBudget, unavailableCount });
  }

  /** Records that a task is stopped, before its run is. */
  recordStop({ task }: Assignment): void {
    const known = this.#unavailableCounts.get(task.step);
    if (known !== undefined && this.#isAvailable(task))
      this.#unavailableCounts.set(task.step, known + 1);
  }

  #countUnavailable(step: StepRun): number {
    let available = 0;
    for (const task of step.activeTasks) if (this.#isAvailable(task)) available += 1;
    return step.count - available;
  }

  /** Whether a task is known to be in service; one whose target is silent may not be. */
  #isAvailable(task: TaskRun): boolean {
    const { attempts } = task;
    if (!attempts.some((attempt) => this.#isReady(attempt))) return false;
    return !(this.#countsDraining && attempts.some((attempt) => this.#isDraining(attempt)));
  }

  #isDraining({ targetId }: Attempt): boolean {
    return this.#context.fleet.find(targetId)?.entry.state === TargetState.Draining;
  }

  #isReady(attempt: Attempt): boolean {
    if (attempt.phase !== AttemptPhase.Running || attempt.percent < READY_PERCENT) return false;
    const target = this.#context.fleet.find(attempt.targetId);
    if (target?.reportedAt === undefined || target.unansweredCalls > 0) return false;
    return target.reportedAt >= attempt.readyNotBefore;
  }
}
