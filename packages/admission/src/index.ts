export * from './backlog.ts';
export * from './contention.ts';
export * from './decision.ts';
export * from './evidence.ts';
export * from './evidence-holder.ts';
export * from './growth-meter.ts';
export * from './returning-callers.ts';
