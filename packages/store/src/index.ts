export * from './follower.ts';
export * from './store.ts';
