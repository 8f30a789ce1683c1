/** A team may submit in one burst what its weight allows in this many milliseconds. */
const BURST_WINDOW_MS = 5_000;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Compares each team's submissions with the rate that its weight allows. Each team has a leaky bucket
 * that drains at that rate.
 */
export class WeightMeter {
  readonly #buckets = new Map<string, { level: number; at: number }>();

  /**
   * Records a submission that was accepted at `at`, in Unix milliseconds. Returns whether the team
   * stays within `weight` submissions per second and its burst allowance.
   */
  record(team: string, weight: number, at: number): boolean {
    const bucket = this.#buckets.get(team) ?? { level: 0, at };
    const elapsedMs = Math.max(0, at - bucket.at);
    const level = Math.max(0, bucket.level - (elapsedMs / MILLISECONDS_PER_SECOND) * weight) + 1;
    const capacity = Math.max(1, (weight * BURST_WINDOW_MS) / MILLISECONDS_PER_SECOND);
    const isWithinWeight = level <= capacity;
    // A submission beyond the capacity is not counted against later ones.
    this.#buckets.set(team, {
      level: isWithinWeight ? level : level - 1,
      at: Math.max(at, bucket.at),
    });
    return isWithinWeight;
  }
}
