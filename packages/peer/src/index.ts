export * from './client.ts';
export * from './gen/currantgap/peer/v1/peer_pb.ts';
export * from './server.ts';
