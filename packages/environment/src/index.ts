export * from './change.ts';
export * from './diff.ts';
export * from './document.ts';
export * from './keys.ts';
export * from './parse.ts';
export * from './state.ts';
