export * from './fair-queue.ts';
export * from './max-min.ts';
