export * from './ownership.ts';
export * from './rows.ts';
