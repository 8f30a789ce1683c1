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
 * Milliseconds by which a target carries out a call late at most, as the operators' list of disruptions
 * states it; the protocol says seconds. Neither a reset connection nor a restart of the target prevents that.
 */
export const MAXIMUM_EXECUTION_DELAY_MS = 12_000;
/** Milliseconds after an order was given from which no incarnation carries it out any more. */
export const LATEST_EXECUTION_MS =
  MAXIMUM_CALL_AGE_MS + MAXIMUM_POLL_MS + MAXIMUM_EXECUTION_DELAY_MS;
/** Milliseconds by which the wall clocks of targets and nodes may differ. */
export const WALL_CLOCK_TOLERANCE_MS = 2_000;
/**
 * Milliseconds after the last submission, or after its own start, for which a task is kept from starting
 * elsewhere by a start without an answer. Callers expect each task that can run to run 17 s after the last
 * submission at the latest: `finish_s` and 3 s (LOST). Until `LATEST_EXECUTION_MS` after the start, and the longest
 * lease after that, an incarnation that nobody sees may run the task (TWICE). Where the two overlap, the protocol
 * decides: a target that is gone runs nothing, so that its own start does not prolong the wait.
 */
export const MAXIMUM_WAIT_MS = 16_000;
/** Milliseconds within which the entry of a target that is up returns to the registry, as the protocol says. */
export const REGISTRATION_RETURN_MS = 2_000;
/**
 * Milliseconds after the last sign of life of a run for which a persistent task waits for a target that is gone, but
 * may hold a lease by a call of the past. Callers expect 9 s at most, of which 0.6 s are left to the next start.
 */
export const MAXIMUM_DOWNTIME_MS = 8_400;
/**
 * Milliseconds after an unanswered start for which a persistent task waits for a target that is gone. Callers
 * expect it to run 7 s after the last disruption, and the start may have been sent a second after that.
 */
export const MAXIMUM_OUTAGE_MS = 6_000;
/**
 * Milliseconds for which a new owner keeps tasks waiting for a target that does not report. Less than those 17 s
 * by the time that a take-over needs.
 */
export const MAXIMUM_POOL_WAIT_MS = 13_000;
