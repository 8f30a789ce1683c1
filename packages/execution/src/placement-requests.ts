import type { StepRun, TaskRun } from '@currantgap/jobs';
import { getFootprint, type PlacementRequest } from '@currantgap/scheduling';
import type { OwnerContext } from './context.ts';

/** Builds the placement request of a task. */
export function buildPlacementRequest(context: OwnerContext, task: TaskRun): PlacementRequest {
  return { ...buildStepRequest(context, task.step), failedOn: task.failedOn };
}

/** Builds what the placement requests of a step's tasks have in common. */
export function buildStepRequest(
  { bounds, fleet }: OwnerContext,
  step: StepRun,
): Omit<PlacementRequest, 'failedOn'> {
  const [firstTargetId] = step.targetIds;
  const stepRack = firstTargetId === undefined ? undefined : fleet.find(firstTargetId)?.rack;
  return {
    step: step.definition,
    footprint: getFootprint(step.definition),
    remoteFactor: bounds.remoteFactor,
    stepRack,
    countOn: (targetId) => step.countAttemptsOn(targetId),
  };
}

/** Builds the request of a gang, which avoids each target on which a member has failed. */
export function buildGangRequest(context: OwnerContext, step: StepRun): PlacementRequest {
  const failedOn = new Set<string>();
  for (const task of step.records) for (const id of task.failedOn) failedOn.add(id);
  return { ...buildStepRequest(context, step), failedOn };
}
