/** Milliseconds after an order was given in which a call that carries it may be sent to the target. */
export const CALL_VALIDITY_MS = 600;
/** Milliseconds after which a call that was sent is given up and its connection reset. */
export const CALL_TIMEOUT_MS = 700;
/**
 * Milliseconds after an order was given from which it can reach no incarnation of the target any more.
 * A target that may delay its answer keeps the connection open for that long in addition.
 */
export const MAXIMUM_CALL_AGE_MS = CALL_VALIDITY_MS + CALL_TIMEOUT_MS;
/** Milliseconds by which a target may delay its answer to a renewal at most. */
export const MAXIMUM_POLL_MS = 750;
/** The same for a renewal, whose answer may be delayed. */
export const MAXIMUM_RENEWAL_AGE_MS = MAXIMUM_CALL_AGE_MS + MAXIMUM_POLL_MS;
