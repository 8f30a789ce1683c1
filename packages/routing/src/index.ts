export * from './defaults.ts';
export * from './health.ts';
export * from './retry-budget.ts';
export * from './router.ts';
