export * from './disruption.ts';
export * from './maintenance.ts';
export * from './pool-demand.ts';
export * from './sizing.ts';
