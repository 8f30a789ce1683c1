export * from './apply-rows.ts';
export * from './feed-consumer.ts';
export * from './overlapping-poll.ts';
export * from './page-sizer.ts';
export * from './row-scanner.ts';
export * from './seen-versions.ts';
export * from './store.ts';
