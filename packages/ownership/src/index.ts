export * from './ownership.ts';
export {
  computeTakeOverDelay as computeTakeOverDelay,
  computeRemainingWait as computeRemainingWait,
  LEASE_MS,
} from './take-over-timing.ts';
export * from './rows.ts';
