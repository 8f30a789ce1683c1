export * from './api.ts';
export * from './client.ts';
export * from './listener.ts';
export * from './service.ts';
