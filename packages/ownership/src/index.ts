export * from './ownership.ts';
export { computeWait, LEASE_MS } from './patience.ts';
export * from './rows.ts';
