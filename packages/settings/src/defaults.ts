/** Interval between heartbeats to a peer in milliseconds. */
export const HEARTBEAT_PERIOD_MS = 1_500;
/** Interval between reads of the change log in milliseconds. */
export const POLL_PERIOD_MS = 1_500;
/**
 * Milliseconds for which an entry may start work, counted from the request that confirmed that its
 * configuration is up to date.
 */
export const FRESHNESS_BOUND_MS = 4_000;
/** Milliseconds without a message from a member before peers ask the table to declare it dead. */
export const SUSPECT_AFTER_MS = 3_000;
/** Maximum timeout of a request and maximum run time at a target, in milliseconds. */
export const MAXIMUM_TIMEOUT_MS = 30_000;
/** Timeout in milliseconds of a request that sets none. */
export const DEFAULT_TIMEOUT_MS = 10_000;
/** Maximum number of requests that one team may have queued for one service at one entry. */
export const MAXIMUM_QUEUE_LENGTH = 200;
/** Maximum size of a request body in bytes. */
export const MAXIMUM_BODY_BYTES = 1_048_576;
/** Maximum total size in bytes of the request bodies that an entry buffers at once. */
export const MAXIMUM_HELD_BYTES = 33_554_432;
/**
 * Milliseconds for which an entry continues to serve requests after its health check fails in a
 * planned stop, so that the load balancer can remove it first.
 */
export const BALANCER_NOTICE_MS = 1_000;
/** Minimum length of a peer or operator key in characters. */
export const MINIMUM_PEER_KEY_LENGTH = 16;
