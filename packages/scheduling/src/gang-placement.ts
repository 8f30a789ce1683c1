import { computeCost, isEligible, type Candidate, type PlacementRequest } from './placement.ts';

/** A target with the number of a gang's tasks that it has room for. */
interface RankedTarget<T> {
  readonly target: T;
  readonly cost: number;
  readonly slots: number;
}

/**
 * Chooses a target for each of `count` equal tasks that start together, those with the lowest cost first; undefined
 * if there is no room for all. The cost does not depend on the number of tasks until there is.
 */
export function chooseGangTargets<T extends Candidate>(
  request: PlacementRequest,
  count: number,
  candidates: readonly T[],
): readonly T[] | undefined {
  const ranked: RankedTarget<T>[] = [];
  let slotCount = 0;
  for (const target of candidates) {
    if (!isEligible(request, target)) continue;
    const slots = countSlots(request, target);
    if (slots === 0) continue;
    slotCount += slots;
    ranked.push({ target, slots, cost: computeCost(request, target) });
  }
  if (slotCount < count) return undefined;
  ranked.sort((left, right) => left.cost - right.cost);
  const chosen: T[] = [];
  for (const { target, slots } of ranked) {
    const used = Math.min(slots, count - chosen.length);
    for (let slot = 0; slot < used; slot += 1) chosen.push(target);
  }
  return chosen;
}

/** Counts the tasks of a step that fit on a target at the same time. */
function countSlots({ step, footprint, countOn }: PlacementRequest, target: Candidate): number {
  const { capacity, used } = target;
  const limit = step.antiAffinity > 0 ? step.antiAffinity - countOn(target.id) : Infinity;
  return Math.max(
    0,
    Math.min(
      limit,
      countFitting(capacity.cpuMillis, used.cpuMillis, footprint.cpuMillis),
      countFitting(capacity.memoryMb, used.memoryMb, footprint.memoryMb),
      countFitting(capacity.gpus, used.gpus, footprint.gpus),
    ),
  );
}

/** Counts how often an amount of one resource fits; none do where more is used than there is. */
function countFitting(capacity: number, used: number, amount: number): number {
  if (used > capacity) return 0;
  return amount > 0 ? Math.floor((capacity - used) / amount) : Infinity;
}
