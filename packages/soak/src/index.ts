export * from './plan.ts';
export * from './invariants.ts';
