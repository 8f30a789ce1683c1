export * from './plan.ts';
export * from './promises.ts';
