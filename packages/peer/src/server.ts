import { Code, ConnectError, type ServiceImpl } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { isSameSecret } from '@currantgap/environment';
import { listenOn } from '@currantgap/tasks';
import type { Logger, TrafficMeter } from '@currantgap/telemetry';
import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2';
import type { Socket } from 'node:net';
import { PeerService } from './gen/currantgap/peer/v1/peer_pb.ts';
import { PEER_KEY_HEADER } from './key.ts';

/** Implementation of the calls of the peer service. */
export type PeerHandler = Required<ServiceImpl<typeof PeerService>>;

/** Options of the peer server. */
export interface PeerServerOptions {
  readonly handler: PeerHandler;
  /** Key that every peer must send. */
  readonly key: string;
  readonly logger: Logger;
  readonly traffic: TrafficMeter;
}

/** Serves the peer service over HTTP/2. */
export class PeerServer {
  readonly #server: Http2Server;
  readonly #sessions = new Set<ServerHttp2Session>();

  constructor(options: PeerServerOptions) {
    const { handler, key, logger, traffic } = options;
    this.#server = createServer(
      connectNodeAdapter({
        routes: (router) => router.service(PeerService, handler),
        interceptors: [
          (next) => async (request) => {
            if (!isSameSecret(request.header.get(PEER_KEY_HEADER) ?? '', key)) {
              logger.writeWarning('refused a peer with a wrong key', {
                method: request.method.name,
              });
              throw new ConnectError(
                'The peer key is wrong. Write the same keys.peer in the settings of every entry.',
                Code.Unauthenticated,
              );
            }
            return next(request);
          },
        ],
      }),
    );
    this.#server.on('connection', (socket: Socket) => {
      traffic.add(socket);
    });
    this.#server.on('session', (session) => {
      this.#sessions.add(session);
      session.on('close', () => this.#sessions.delete(session));
      session.on('error', () => undefined);
    });
  }

  /** Listens on an address and resolves to the port. Rejects when the address is in use. */
  async listen(host: string, port: number): Promise<number> {
    return listenOn(this.#server, host, port);
  }

  /** Stops listening and closes every session. */
  close(): void {
    this.#server.close();
    for (const session of this.#sessions) session.destroy();
  }
}
