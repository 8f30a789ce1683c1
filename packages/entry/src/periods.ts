/** Milliseconds between two looks through the queues. */
export const SWEEP_PERIOD_MS = 100;
/** Milliseconds between two divisions of the services by demand. */
export const REFRESH_PERIOD_MS = 250;
/** Milliseconds between two steps of a settlement. */
export const SETTLEMENT_PERIOD_MS = 250;
/** Milliseconds between two renewals of the lease row. */
export const LEASE_PERIOD_MS = 2_000;
/** Milliseconds between two looks for lost members. */
export const DECLARE_PERIOD_MS = 1_000;
/** Milliseconds after which a call of a peer counts as failed. */
export const PEER_TIMEOUT_MS = 800;
/** Milliseconds between two attempts to take a seat. */
export const JOIN_PERIOD_MS = 200;
/** Milliseconds that a planned stop allows for handing permits over and giving the seat up. */
export const HAND_OVER_MS = 5_000;
/** Milliseconds between two looks at whether peers have taken over everything. */
export const HAND_OVER_PERIOD_MS = 50;
