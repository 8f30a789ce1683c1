import type { Resources } from '@currantgap/model';
import { computeMaxMinAllocation } from './max-min.ts';

/** What one team holds of a pool and what its waiting work requests. */
export interface TeamUsage {
  readonly team: string;
  readonly weight: number;
  readonly held: Resources;
  readonly waiting: Resources;
}

/** Parts of a pool, 0 to 1, of the resource of which a team uses the largest part. */
export interface TeamShare {
  readonly held: number;
  /** Weighted fair share, at most what the team holds and waits for. */
  readonly owed: number;
}

/** Computes the dominant share that each team holds of a pool, and the one that it is owed. */
export function computeTeamShares(
  capacity: Resources,
  usages: readonly TeamUsage[],
): Map<string, TeamShare> {
  const claims = usages.map(({ team, weight, held, waiting }) => ({
    name: team,
    weight,
    demand: computeDominantShare(capacity, addResources(held, waiting)),
  }));
  const owed = computeMaxMinAllocation(1, claims);
  return new Map(
    usages.map(({ team, held }) => [
      team,
      { held: computeDominantShare(capacity, held), owed: owed.get(team) ?? 0 },
    ]),
  );
}

/** Computes the largest part of any resource of `capacity` that `amount` takes. */
export function computeDominantShare(capacity: Resources, amount: Resources): number {
  return Math.max(
    computeRatio(amount.cpuMillis, capacity.cpuMillis),
    computeRatio(amount.memoryMb, capacity.memoryMb),
    computeRatio(amount.gpus, capacity.gpus),
  );
}

function addResources(left: Resources, right: Resources): Resources {
  return {
    cpuMillis: left.cpuMillis + right.cpuMillis,
    memoryMb: left.memoryMb + right.memoryMb,
    gpus: left.gpus + right.gpus,
  };
}

function computeRatio(amount: number, capacity: number): number {
  return capacity > 0 ? amount / capacity : 0;
}
