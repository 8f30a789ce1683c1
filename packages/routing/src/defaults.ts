/** Consecutive failures after which a target is ejected. */
export const FAILURES_TO_EJECT = 5;
/** Milliseconds of the first ejection. Each consecutive ejection doubles the time. */
export const FIRST_EJECTION_MS = 2_000;
/** Longest ejection in milliseconds. */
export const MAXIMUM_EJECTION_MS = 60_000;
/** Milliseconds over which the load of a target that returns to service is ramped up. */
export const SLOW_START_MS = 5_000;
/** Fraction of a pool's targets that may be ejected at the same time. */
export const MAXIMUM_EJECTED_FRACTION = 0.5;
/** Retry tokens earned by each first send. */
export const RETRY_RATIO = 0.1;
/** Retry tokens that can accumulate: the largest burst of retries. */
export const MAXIMUM_RETRY_TOKENS = 20;
