export * from './check.ts';
export * from './compare.ts';
export * from './finding.ts';
