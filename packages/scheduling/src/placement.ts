import type { Resources, Step } from '@currantgap/model';
import { computeUtilisation, hasRoom } from './resources.ts';

/** Properties of a target that placement considers. */
export interface Candidate {
  readonly id: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** Reserved resources, including those of tasks placed earlier in the same planning pass. */
  readonly used: Resources;
  /** Whether the target runs persistent tasks. */
  readonly hasPersistent: boolean;
  /** Ratio of actual to expected duration of the tasks that ended there; 1 is healthy. */
  readonly slowness: number;
}

/** A task to be placed. */
export interface PlacementRequest {
  readonly step: Step;
  /** Resources that the task reserves on a target. */
  readonly footprint: Resources;
  /**
   * Factor by which a task is slower on another rack than its data or, in a step that should run on
   * one rack, than the other tasks of the step.
   */
  readonly remoteFactor: number;
  /** Rack on which another task of the step already runs; undefined if none runs. */
  readonly stepRack: string | undefined;
  /** Returns the number of tasks of the step on a target. */
  readonly countOn: (targetId: string) => number;
  /** Ids of the targets on which the task has failed. */
  readonly failedOn: ReadonlySet<string>;
}

/**
 * Weight of a target's utilisation in its cost: among otherwise equal targets the fullest is chosen,
 * so that others become idle and their VMs can move to the pool with the next burst.
 */
const PACKING_WEIGHT = 0.3;
/**
 * Reduction of the cost of a target that already runs persistent tasks, for a persistent task: with
 * these on few VMs, fewer VMs have to stay when a pool shrinks.
 */
const PERSISTENT_PACKING_BONUS = 0.4;
/** Added to the cost of a target on which the task has failed, so that any other is preferred. */
const FAILED_PENALTY = 10;

/**
 * Chooses the eligible target with the lowest cost, which is the expected slowdown corrected for
 * packing and earlier failures. Returns undefined if no eligible target has room.
 */
export function chooseTarget<T extends Candidate>(
  request: PlacementRequest,
  candidates: readonly T[],
): T | undefined {
  let best: T | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    if (!isEligible(request, candidate)) continue;
    if (!hasRoom(candidate.capacity, candidate.used, request.footprint)) continue;
    const cost = computeCost(request, candidate);
    if (cost >= bestCost) continue;
    best = candidate;
    bestCost = cost;
  }
  return best;
}

/** Whether a target may run the task, regardless of its free capacity. */
export function isEligible(
  request: Pick<PlacementRequest, 'step' | 'countOn'>,
  candidate: Pick<Candidate, 'id' | 'labels'>,
): boolean {
  const { step } = request;
  if (step.requiredLabel !== undefined && !candidate.labels.includes(step.requiredLabel)) {
    return false;
  }
  return step.antiAffinity <= 0 || request.countOn(candidate.id) < step.antiAffinity;
}

/** Computes the cost of a task on a target, the lower the better. */
export function computeCost(request: PlacementRequest, candidate: Candidate): number {
  const { step, remoteFactor } = request;
  let cost = candidate.slowness;
  if (step.dataRack !== undefined && step.dataRack !== candidate.rack) cost *= remoteFactor;
  const { stepRack } = request;
  if (step.isSameRack && stepRack !== undefined && stepRack !== candidate.rack) {
    cost *= remoteFactor;
  }
  if (step.isPersistent && candidate.hasPersistent) cost -= PERSISTENT_PACKING_BONUS;
  if (request.failedOn.has(candidate.id)) cost += FAILED_PENALTY;
  return cost - PACKING_WEIGHT * computeUtilisation(candidate.capacity, candidate.used);
}
