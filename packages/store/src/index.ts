export * from './feed-consumer.ts';
export * from './page-sizer.ts';
export * from './row-scanner.ts';
export * from './store.ts';
