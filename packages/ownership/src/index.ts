export * from './ownership.ts';
export {
  computeRemainingWait,
  computeSlack,
  computeTakeOverDelay,
  computeWatchPause,
  LEASE_MS,
  MAXIMUM_PAUSE_MS,
  type NodeCapacity,
} from './take-over-timing.ts';
export * from './rows.ts';
export * from './term.ts';
