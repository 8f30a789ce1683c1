export * from './address.ts';
export * as defaults from './defaults.ts';
export * from './entry-settings.ts';
export * from './toml.ts';
