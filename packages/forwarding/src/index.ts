export * from './forwarder.ts';
export * from './forwarder-pool.ts';
export { acceptForwarder } from './handshake.ts';
