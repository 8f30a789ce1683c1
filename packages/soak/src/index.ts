export * from './answers.ts';
export * from './plan.ts';
export * from './invariants.ts';
