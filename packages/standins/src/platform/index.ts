export * from './deployment.ts';
export * from './node-process.ts';
export * from './run-record.ts';
export * from './store-server.ts';
export * from './target-process.ts';
