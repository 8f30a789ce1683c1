export * from './head.ts';
export * from './lease-watch.ts';
export * from './view-changes.ts';
export * from './promised-epoch.ts';
export * from './rows.ts';
export * from './view-store.ts';
export * from './view.ts';
