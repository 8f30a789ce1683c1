export * from './entry.ts';
