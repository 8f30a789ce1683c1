/** Milliseconds between two sweeps of the request queues. */
export const SWEEP_PERIOD_MS = 100;
/** Milliseconds between two allocations of service slots by demand. */
export const REFRESH_PERIOD_MS = 250;
/** Milliseconds between two steps of reclaiming permits. */
export const RECLAIM_PERIOD_MS = 250;
/** Milliseconds between two renewals of the lease row. */
export const LEASE_PERIOD_MS = 2_000;
/** Milliseconds between two checks for dead members. */
export const DECLARE_PERIOD_MS = 1_000;
/** Timeout in milliseconds of a call to a peer. */
export const PEER_TIMEOUT_MS = 800;
/** Milliseconds between two attempts to join the view. */
export const JOIN_PERIOD_MS = 200;
/** Milliseconds within which a planned stop must hand over permits and leave the view. */
export const HAND_OVER_TIMEOUT_MS = 5_000;
/** Milliseconds between two checks or attempts during the hand-over. */
export const HAND_OVER_POLL_PERIOD_MS = 50;
