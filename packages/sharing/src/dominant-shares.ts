import type { Resources } from '@currantgap/model';

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

/** Below this part of a pool, a resource counts as used up. */
const EPSILON = 1e-9;

/** Demand of one team while shares are divided; parts of the pool, by resource. */
interface Claim {
  readonly team: string;
  readonly weight: number;
  readonly demand: readonly number[];
  readonly dominant: number;
  owed: number;
}

/**
 * Computes the dominant share that each team holds of a pool, and the one that it is owed by weighted
 * dominant-resource fairness. Teams whose demands bind on different resources may be owed more than
 * the whole in sum. A team without a positive weight is owed nothing.
 */
export function computeTeamShares(
  capacity: Resources,
  usages: readonly TeamUsage[],
): Map<string, TeamShare> {
  const claims = usages.map(({ team, weight, held, waiting }): Claim => {
    const demand = listRatios(capacity, addResources(held, waiting));
    return { team, weight, demand, dominant: Math.max(...demand), owed: 0 };
  });
  assignOwed(claims);
  const owed = new Map(claims.map((claim) => [claim.team, claim.owed]));
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

/**
 * Raises the shares of all claims in proportion to their weights. A claim stops where its demand is
 * met, or where a resource that it needs is used up.
 */
function assignOwed(claims: readonly Claim[]): void {
  const free = [1, 1, 1];
  let rising = claims.filter(({ weight, dominant }) => weight > 0 && dominant > 0);
  while (rising.length > 0) {
    const rates = free.map((_, index) =>
      rising.reduce((sum, claim) => sum + claim.weight * computeUse(claim, index), 0),
    );
    const step = Math.min(
      ...rising.map(({ dominant, owed, weight }) => (dominant - owed) / weight),
      ...rates.map((rate, index) => (rate > 0 ? (free[index] ?? 0) / rate : Infinity)),
    );
    for (const claim of rising) claim.owed += step * claim.weight;
    for (const [index, rate] of rates.entries()) free[index] = (free[index] ?? 0) - step * rate;
    rising = rising.filter(
      (claim) => claim.dominant - claim.owed > EPSILON && canRise(claim, free),
    );
  }
}

function canRise(claim: Claim, free: readonly number[]): boolean {
  return free.every((part, index) => part > EPSILON || computeUse(claim, index) === 0);
}

/** Computes the part of a resource that the claim uses for each unit of its dominant share. */
function computeUse({ demand, dominant }: Claim, index: number): number {
  return (demand[index] ?? 0) / dominant;
}

function listRatios(capacity: Resources, amount: Resources): number[] {
  return [
    computeRatio(amount.cpuMillis, capacity.cpuMillis),
    computeRatio(amount.memoryMb, capacity.memoryMb),
    computeRatio(amount.gpus, capacity.gpus),
  ];
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
