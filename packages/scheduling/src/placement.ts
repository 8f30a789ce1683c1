import type { Resources, Step } from '@currantgap/model';
import { computeUtilisation, hasRoom } from './resources.ts';

/** A target as placement sees it. */
export interface Candidate {
  readonly id: string;
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: Resources;
  /** What is reserved there, by this plan too. */
  readonly used: Resources;
  /** It hosts persistent tasks. */
  readonly hasPersistent: boolean;
  /** Elapsed against expected time of what ended there; 1 is sound. */
  readonly slowness: number;
}

/** What is to be placed. */
export interface PlacementRequest {
  readonly step: Step;
  /** What one task takes from a target. */
  readonly footprint: Resources;
  /** Slowdown away from the data or across racks. */
  readonly remoteFactor: number;
  /** Rack on which other tasks of the step run already. */
  readonly stepRack: string | undefined;
  /** Tasks of the step on a target. */
  readonly countOn: (targetId: string) => number;
  /** Targets on which this task failed before. */
  readonly failedOn: ReadonlySet<string>;
}

/**
 * Weight of a target's load against its expected time: among equals the fullest one is taken, so
 * that others fall idle and their VMs can go where the next burst is.
 */
const PACKING_WEIGHT = 0.3;
/**
 * Taken off for a persistent task beside others: fewer VMs then have to stay when a pool shrinks.
 */
const PACKING_BONUS = 0.4;
/** Added for a target where the task has failed: any other goes first. */
const FAILED_PENALTY = 10;

/** Chooses the target on which the task should end soonest; undefined where none has room. */
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

/** Tells whether a target may run a task of the step at all, room aside. */
export function isEligible(request: PlacementRequest, candidate: Candidate): boolean {
  const { step } = request;
  if (step.requiredLabel !== undefined && !candidate.labels.includes(step.requiredLabel)) {
    return false;
  }
  return step.antiAffinity <= 0 || request.countOn(candidate.id) < step.antiAffinity;
}

function computeCost(request: PlacementRequest, candidate: Candidate): number {
  const { step, remoteFactor } = request;
  let cost = candidate.slowness;
  if (step.dataRack !== undefined && step.dataRack !== candidate.rack) cost *= remoteFactor;
  const { stepRack } = request;
  if (step.isSameRack && stepRack !== undefined && stepRack !== candidate.rack) {
    cost *= remoteFactor;
  }
  if (step.isPersistent && candidate.hasPersistent) cost -= PACKING_BONUS;
  if (request.failedOn.has(candidate.id)) cost += FAILED_PENALTY;
  return cost - PACKING_WEIGHT * computeUtilisation(candidate.capacity, candidate.used);
}
