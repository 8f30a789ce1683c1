export * from './head.ts';
export * from './lease-watch.ts';
export * from './moves.ts';
export * from './promise-book.ts';
export * from './rows.ts';
export * from './view-store.ts';
export * from './view.ts';
