export * from './admission-publisher.ts';
export * from './context.ts';
export * from './intake-tables.ts';
export * from './job-index.ts';
export { NORMAL_LEASE_MS } from './lease-policy.ts';
export { LEDGER_TABLE } from './ledger.ts';
export * from './messages.ts';
export * from './owner.ts';
export * from './ports.ts';
