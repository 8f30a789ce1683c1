export * from './dominant-shares.ts';
export * from './fair-queue.ts';
export * from './max-min.ts';
export * from './placement-order.ts';
export * from './share-order.ts';
