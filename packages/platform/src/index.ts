export * from './breaker.ts';
export * from './token-bucket.ts';
export * from './http-client.ts';
export * from './http-objects.ts';
export * from './http-table.ts';
export * from './objects.ts';
export * from './table.ts';
