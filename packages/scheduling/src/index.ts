export * from './health.ts';
export * from './order.ts';
export * from './pacing.ts';
export * from './placement.ts';
export * from './resources.ts';
export * from './weights.ts';
export * from './arrivals.ts';
export * from './response-times.ts';
