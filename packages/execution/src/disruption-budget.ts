import { canDisrupt } from '@currantgap/fleet';
import { AttemptPhase, type Attempt, type TaskRun } from '@currantgap/jobs';
import { TargetState } from '@currantgap/model';
import type { OwnerContext } from './context.ts';
import type { Assignment } from './target-record.ts';

/** Progress, in percent, at which a persistent task counts as ready. */
const READY_PERCENT = 100;

/**
 * Whether the disruption budget of a persistent task's step allows stopping it on a target that
 * could keep it. Ready tasks on draining targets count as unavailable, since they leave soon.
 */
export function canStopPersistent(context: OwnerContext, { task }: Assignment): boolean {
  return hasBudget(
    task,
    (other) => isKnownReady(context, other) && !isOnDrainingTarget(context, other),
  );
}

/**
 * Whether the disruption budget of a persistent task's step allows stopping it on a draining target
 * before it has to leave. Ready tasks on other draining targets do not count, or each would wait
 * for the others.
 */
export function canStopOnDrainingTarget(context: OwnerContext, { task }: Assignment): boolean {
  return hasBudget(task, (other) => isKnownReady(context, other));
}

function hasBudget(task: TaskRun, isAvailable: (other: TaskRun) => boolean): boolean {
  const { step } = task;
  const unavailableCount = step.tasks.filter(
    (other) => other !== task && !isAvailable(other),
  ).length;
  return canDisrupt({ budget: step.definition.disruptionBudget, unavailableCount });
}

/** Whether a task is known to be in service; one whose target is silent may not be. */
function isKnownReady(context: OwnerContext, task: TaskRun): boolean {
  return task.attempts.some((attempt) => isAttemptReady(context, attempt));
}

function isOnDrainingTarget({ fleet }: OwnerContext, task: TaskRun): boolean {
  return task.attempts.some(
    ({ targetId }) => fleet.find(targetId)?.entry.state === TargetState.Draining,
  );
}

function isAttemptReady({ fleet }: OwnerContext, attempt: Attempt): boolean {
  if (attempt.phase !== AttemptPhase.Running || attempt.percent < READY_PERCENT) return false;
  const target = fleet.find(attempt.targetId);
  if (target?.reportedAt === undefined || target.unansweredCalls > 0) return false;
  return target.reportedAt >= attempt.readyNotBefore;
}
