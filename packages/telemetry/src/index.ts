export * from './log.ts';
export * from './metrics.ts';
export * from './traffic.ts';
export * from './line-buffer.ts';
