import { canDisrupt } from '@currantgap/fleet';
import { AttemptPhase, type Attempt, type TaskRun } from '@currantgap/jobs';
import type { OwnerContext } from './context.ts';
import type { Assignment } from './target-record.ts';

/** Progress, in percent, at which a persistent task counts as ready. */
const READY_PERCENT = 100;

/** Whether the disruption budget of a persistent task's step allows stopping it now. */
export function canStopPersistent(context: OwnerContext, { task }: Assignment): boolean {
  const { step } = task;
  const unavailableCount = step.tasks.filter(
    (other) => other !== task && !isKnownReady(context, other),
  ).length;
  return canDisrupt({ budget: step.definition.disruptionBudget, unavailableCount });
}

/** Whether a task is known to be in service; one whose target is silent may not be. */
function isKnownReady(context: OwnerContext, task: TaskRun): boolean {
  return task.attempts.some((attempt) => isAttemptReady(context, attempt));
}

function isAttemptReady({ fleet }: OwnerContext, attempt: Attempt): boolean {
  if (attempt.phase !== AttemptPhase.Running || attempt.percent < READY_PERCENT) return false;
  const target = fleet.find(attempt.targetId);
  if (target?.reportedAt === undefined || target.unansweredCalls > 0) return false;
  return target.reportedAt >= attempt.readyNotBefore;
}
