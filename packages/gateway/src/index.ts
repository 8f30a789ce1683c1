export * from './caller-exchange.ts';
export * from './caller-listener.ts';
export * from './claims.ts';
export * from './dispatcher.ts';
export * from './messages.ts';
export * from './pending-request.ts';
export * from './refusal.ts';
export * from './relay.ts';
