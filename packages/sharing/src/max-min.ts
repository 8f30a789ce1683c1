/** A participant in the division of a capacity. */
export interface Claimant {
  readonly name: string;
  /** Relative weight by which scarce capacity is divided. */
  readonly weight: number;
  /** Maximum amount that the claimant can use, in units of the capacity. */
  readonly demand: number;
}

/**
 * Computes the weighted max-min fair allocation of `capacity`, by the name of the claimant. No
 * claimant gets more than its demand. Capacity that a claimant leaves unused is divided among the
 * others by weight. Claimants without a positive weight get nothing and are not in the result.
 */
export function computeMaxMinAllocation(
  capacity: number,
  claimants: readonly Claimant[],
): Map<string, number> {
  const sorted = claimants
    .filter((claimant) => claimant.weight > 0)
    .sort((left, right) => left.demand / left.weight - right.demand / right.weight);
  let remainingWeight = sorted.reduce((sum, claimant) => sum + claimant.weight, 0);
  let remainingCapacity = capacity;
  const allocations = new Map<string, number>();
  for (const claimant of sorted) {
    const allocation = Math.min(
      claimant.demand,
      (remainingCapacity * claimant.weight) / remainingWeight,
    );
    allocations.set(claimant.name, allocation);
    remainingCapacity -= allocation;
    remainingWeight -= claimant.weight;
  }
  return allocations;
}
