/** Failures in a row after which a target is ejected. */
export const FAILURES_TO_EJECT = 5;
/** Milliseconds of the first ejection; each further one in a row doubles it. */
export const FIRST_EJECTION_MS = 2_000;
/** Longest ejection in milliseconds. */
export const MAXIMUM_EJECTION_MS = 60_000;
/** Milliseconds over which a returned target is given more and more work. */
export const SLOW_START_MS = 5_000;
/** Part of a pool's targets that may be ejected at once. */
export const MAXIMUM_EJECTED_PART = 0.5;
/** Retries allowed per first send. */
export const RETRY_PART = 0.1;
/** Retries that may be saved up. */
export const MAXIMUM_SAVED_RETRIES = 20;
