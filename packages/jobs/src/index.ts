export * from './crash.ts';
export * from './critical-path.ts';
export * from './job.ts';
export * from './ledger-row.ts';
export * from './occurrence.ts';
export * from './step.ts';
export * from './stored-job.ts';
export * from './task.ts';
