export * from './copy-spec.ts';
export * from './explore.ts';
export * from './freshness-spec.ts';
export * from './incarnation-spec.ts';
export * from './permit-spec.ts';
export * from './plan.ts';
export * from './takeover-spec.ts';
