export * from './http-server.ts';
export * from './memory-table.ts';
export * from './platform-server.ts';
export * from './target-server.ts';
