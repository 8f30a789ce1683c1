export * from './dominant-shares.ts';
export * from './fair-queue.ts';
export * from './max-min.ts';
