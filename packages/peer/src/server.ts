import { Code, ConnectError, type ServiceImpl } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import type { Logger, TrafficMeter } from '@currantgap/telemetry';
import { timingSafeEqual } from 'node:crypto';
import { createServer, type Http2Server, type ServerHttp2Session } from 'node:http2';
import type { AddressInfo, Socket } from 'node:net';
import { PeerService } from './gen/currantgap/peer/v1/peer_pb.ts';
import { PEER_KEY_HEADER } from './key.ts';

/** Handles the calls of peers. */
export type PeerHandler = Required<ServiceImpl<typeof PeerService>>;

/** Options of the peer server. */
export interface PeerServerOptions {
  readonly handler: PeerHandler;
  /** Key that every peer must show. */
  readonly key: string;
  readonly logger: Logger;
  readonly traffic: TrafficMeter;
}

/** Serves the calls of peers over HTTP/2. */
export class PeerServer {
  readonly #server: Http2Server;
  readonly #sessions = new Set<ServerHttp2Session>();

  constructor(options: PeerServerOptions) {
    const { handler, logger, traffic } = options;
    const key = Buffer.from(options.key);
    this.#server = createServer(
      connectNodeAdapter({
        routes: (router) => router.service(PeerService, handler),
        interceptors: [
          (next) => async (request) => {
            if (!isSameKey(request.header.get(PEER_KEY_HEADER), key)) {
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

  /** Listens on an address and returns the port taken. */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops listening and closes every session. */
  close(): void {
    this.#server.close();
    for (const session of this.#sessions) session.destroy();
  }
}

function isSameKey(shown: string | null, key: Buffer): boolean {
  const buffer = Buffer.from(shown ?? '');
  return buffer.length === key.length && timingSafeEqual(buffer, key);
}
