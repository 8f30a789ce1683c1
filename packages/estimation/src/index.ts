export * from './duration-codec.ts';
export * from './duration-model.ts';
