export * from './fault.ts';
export * from './feature.ts';
export type * from './names.ts';
export * from './outcome.ts';
export * from './random.ts';
export * from './describe-error.ts';
export * from './deployment.ts';
export * from './submission.ts';
