export * from './caller.ts';
export * from './deployments.ts';
export * from './entry-process.ts';
export * from './fleet.ts';
export * from './http-server.ts';
export * from './memory-table.ts';
export * from './platform-server.ts';
export * from './target-server.ts';
