export * from './pending-announcements.ts';
export * from './configuration.ts';
export * from './follower.ts';
export * from './log-entry.ts';
export * from './start-gate.ts';
export * from './writer.ts';
