/** Milliseconds after an order was given in which a call that carries it may be sent to the target. */
export const CALL_VALIDITY_MS = 600;
/** Milliseconds after which a call that was sent is given up and its connection reset. */
export const CALL_TIMEOUT_MS = 700;
/**
 * Milliseconds after an order was given from which no node sends it any more. A target that may delay its
 * answer keeps the connection open for that long in addition.
 */
export const MAXIMUM_CALL_AGE_MS = CALL_VALIDITY_MS + CALL_TIMEOUT_MS;
/** Milliseconds by which a target may delay its answer to a renewal at most. */
export const MAXIMUM_POLL_MS = 750;
/**
 * Milliseconds by which a target carries out a call late at most, as the platform's operators state it.
 * Neither a reset connection nor a restart of the target prevents that.
 */
export const MAXIMUM_EXECUTION_DELAY_MS = 12_000;
/** Milliseconds after an order was given from which no incarnation carries it out any more. */
export const LATEST_EXECUTION_MS =
  MAXIMUM_CALL_AGE_MS + MAXIMUM_POLL_MS + MAXIMUM_EXECUTION_DELAY_MS;
/** Milliseconds by which the wall clocks of targets and nodes may differ. */
export const WALL_CLOCK_TOLERANCE_MS = 2_000;
/**
 * Milliseconds after its start for which a task is kept from starting elsewhere by a target that is silent and
 * that the registry lacks. The protocol takes such a target to be gone, but it may only be cut off. One
 * second less than the 17 s within which a task that can run has to run after the last submission.
 */
export const MAXIMUM_WAIT_FOR_GONE_MS = 16_000;
