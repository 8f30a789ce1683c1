export * from './boot-clock.ts';
export * from './clock.ts';
export * from './listen.ts';
export * from './periodic-runner.ts';
export * from './remote-clock.ts';
export * from './stopwatch.ts';
export * from './task.ts';
export * from './virtual-clock.ts';
