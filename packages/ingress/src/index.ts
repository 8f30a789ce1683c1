export { sendAnswer } from './exchange.ts';
export * from './front.ts';
export * from './intake-writer.ts';
export * from './route-table.ts';
export * from './state-reader.ts';
