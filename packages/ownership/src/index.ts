export * from './ownership.ts';
export { computePatience, computeWait, LEASE_MS } from './patience.ts';
export * from './rows.ts';
