export { run } from './main.ts';
export * from './table.ts';
