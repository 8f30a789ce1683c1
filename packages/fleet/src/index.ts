export * from './demand-history.ts';
export * from './disruption.ts';
export * from './maintenance.ts';
export * from './sizing.ts';
export * from './recent-peak.ts';
