export * from './feed-consumer.ts';
export * from './store.ts';
