/** Tail latency against its target above which fillers beside the task are slowed. */
const SLOW_DOWN_ABOVE = 0.85;
/** Tail latency against its target below which fillers may speed up again. */
const SPEED_UP_BELOW = 0.55;
/** Percent by which fillers speed up at a time: small, since the tail answers late. */
const SPEED_UP_STEP = 15;
/** Percent by which fillers slow down while the tail only nears its target. */
const SLOW_DOWN_STEP = 10;
/** Percent below which a filler that still disturbs is stopped. */
const LOWEST_PACE = 15;
const FULL_PACE = 100;

/** A serving task's reading against its target. */
export interface ServingReading {
  readonly tailLatencyMs: number;
  readonly latencyTargetMs: number;
}

/** Decides the pace of all fillers on one target, 0 to 100, from the tails beside them. */
export function decidePace(current: number, readings: readonly ServingReading[]): number {
  let worst = 0;
  for (const { tailLatencyMs: tailMs, latencyTargetMs: targetMs } of readings) {
    if (targetMs > 0) worst = Math.max(worst, tailMs / targetMs);
  }
  if (worst > 1) return current <= LOWEST_PACE ? 0 : Math.floor(current / 2);
  if (worst > SLOW_DOWN_ABOVE) return Math.max(0, current - SLOW_DOWN_STEP);
  if (worst < SPEED_UP_BELOW) return Math.min(FULL_PACE, current + SPEED_UP_STEP);
  return current;
}
