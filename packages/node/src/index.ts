export * from './run.ts';
