/** A claim on a divided capacity. */
export interface Claim {
  readonly name: string;
  /** Weight when all is full. */
  readonly weight: number;
  /** The most it can use. */
  readonly demand: number;
}

/**
 * Computes the weighted max-min division of `capacity`: nobody gets more than its demand, and
 * what one leaves is divided among the rest by weight.
 */
export function computeMaxMin(capacity: number, claims: readonly Claim[]): Map<string, number> {
  const sorted = claims
    .filter((claim) => claim.weight > 0)
    .sort((left, right) => left.demand / left.weight - right.demand / right.weight);
  let weightLeft = sorted.reduce((sum, claim) => sum + claim.weight, 0);
  let capacityLeft = capacity;
  const division = new Map<string, number>();
  for (const claim of sorted) {
    const part = Math.min(claim.demand, (capacityLeft * claim.weight) / weightLeft);
    division.set(claim.name, part);
    capacityLeft -= part;
    weightLeft -= claim.weight;
  }
  return division;
}
