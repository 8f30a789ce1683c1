export * from './disruption.ts';
export * from './maintenance.ts';
export * from './sizing.ts';
