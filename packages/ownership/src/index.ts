export * from './ownership.ts';
export { computeTakeOverDelay, computeRemainingWait, LEASE_MS } from './take-over-timing.ts';
export * from './rows.ts';
