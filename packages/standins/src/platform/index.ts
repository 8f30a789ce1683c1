export * from './deployment.ts';
export * from './node-process.ts';
export * from './run-history.ts';
export * from './store-server.ts';
export * from './standin-target.ts';
export * from './target-incarnation.ts';
export * from './store-proxy.ts';
