/** Milliseconds between heartbeats to one peer. */
export const HEARTBEAT_PERIOD_MS = 1_500;
/** Milliseconds between two reads of the change log. */
export const POLL_PERIOD_MS = 1_500;
/** Milliseconds for which one proof of freshness lets an entry start work. */
export const FRESHNESS_BOUND_MS = 4_000;
/** Milliseconds without any sign of a member before peers ask the table to declare it dead. */
export const SUSPECT_AFTER_MS = 3_000;
/** Longest time in milliseconds a caller may wait, and a target may run, for one request. */
export const MAXIMUM_TIMEOUT_MS = 30_000;
/** Milliseconds a caller waits when it states no timeout. */
export const DEFAULT_TIMEOUT_MS = 10_000;
/** Requests one team may have waiting for one service at one entry. */
export const MAXIMUM_QUEUE_LENGTH = 200;
/** Largest request body in bytes. */
export const MAXIMUM_BODY_BYTES = 1_048_576;
/** Bytes of request bodies that one entry holds at once. */
export const MAXIMUM_HELD_BYTES = 33_554_432;
/** Milliseconds of continued service after a planned stop began, until the balancer has noticed. */
export const BALANCER_NOTICE_MS = 1_000;
/** Smallest length of a peer key in characters. */
export const MINIMUM_PEER_KEY_LENGTH = 16;
