export * from './bounded-log.ts';
export * from './circuit-breaker.ts';
export { sendResponse } from './exchange.ts';
export * from './ingress-handler.ts';
export * from './intake-writer.ts';
export * from './request-router.ts';
export * from './route-table.ts';
export * from './state-reader.ts';
export * from './store-probe.ts';
