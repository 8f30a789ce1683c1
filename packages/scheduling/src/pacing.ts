/** Ratio of tail latency to its target above which fillers on the same target are slowed down. */
const SLOW_DOWN_RATIO = 0.85;
/** Ratio of tail latency to its target below which fillers may speed up again. */
const SPEED_UP_RATIO = 0.55;
/** Percentage points by which the pace rises at once: few, since the tail latency reacts late. */
const SPEED_UP_PERCENT = 15;
/** Percentage points by which the pace falls while the tail latency only nears its target. */
const SLOW_DOWN_PERCENT = 10;
/** Pace at or below which fillers stop if the tail latency is still above its target. */
const MINIMUM_PACE_PERCENT = 15;
const FULL_PACE_PERCENT = 100;

/** Tail latency of a serving task and the latency target that it must keep. */
export interface ServingReading {
  readonly tailLatencyMs: number;
  readonly latencyTargetMs: number;
}

/**
 * Decides the pace of all fillers on one target, in percent of their full speed, from the tail
 * latencies of the serving tasks there.
 */
export function decidePace(current: number, readings: readonly ServingReading[]): number {
  let worstRatio = 0;
  for (const { tailLatencyMs, latencyTargetMs } of readings) {
    if (latencyTargetMs > 0) worstRatio = Math.max(worstRatio, tailLatencyMs / latencyTargetMs);
  }
  if (worstRatio > 1) return current <= MINIMUM_PACE_PERCENT ? 0 : Math.floor(current / 2);
  if (worstRatio > SLOW_DOWN_RATIO) return Math.max(0, current - SLOW_DOWN_PERCENT);
  if (worstRatio < SPEED_UP_RATIO) return Math.min(FULL_PACE_PERCENT, current + SPEED_UP_PERCENT);
  return current;
}
