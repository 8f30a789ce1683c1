/** Milliseconds over which a team's submissions are held against its weight. */
const WINDOW_MS = 5_000;
const MILLISECONDS = 1_000;

/** Counts each team's submissions against the rate that its weight entitles it to. */
export class WeightMeter {
  readonly #levels = new Map<string, { level: number; at: number }>();

  /** Records a submission; tells whether it lies within `weight` submissions a second. */
  record(team: string, weight: number, at: number): boolean {
    const known = this.#levels.get(team) ?? { level: 0, at };
    const elapsed = Math.max(0, at - known.at);
    const level = Math.max(0, known.level - (elapsed / MILLISECONDS) * weight) + 1;
    const limit = Math.max(1, (weight * WINDOW_MS) / MILLISECONDS);
    const isWithin = level <= limit;
    // What lies beyond does not count against what comes later.
    this.#levels.set(team, { level: isWithin ? level : level - 1, at: Math.max(at, known.at) });
    return isWithin;
  }
}
