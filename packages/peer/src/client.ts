import { createClient, type Client } from '@connectrpc/connect';
import { createConnectTransport, Http2SessionManager } from '@connectrpc/connect-node';
import type { TrafficMeter } from '@currantgap/telemetry';
import { connect, type Socket } from 'node:net';
import { PeerService } from './gen/currantgap/peer/v1/peer_pb.ts';
import { PEER_KEY_HEADER } from './key.ts';

/** Options of a peer client. */
export interface PeerClientOptions {
  /** Address of the peer as `host:port`. */
  readonly address: string;
  readonly key: string;
  /** Timeout in milliseconds of each call. */
  readonly timeoutMs: number;
  readonly traffic: TrafficMeter;
}

/** Calls one peer over a persistent HTTP/2 session. */
export class PeerClient {
  readonly calls: Client<typeof PeerService>;
  readonly #session: Http2SessionManager;

  constructor(options: PeerClientOptions) {
    const { address, key, timeoutMs, traffic } = options;
    const baseUrl = `http://${address}`;
    this.#session = new Http2SessionManager(baseUrl, undefined, {
      createConnection: (authority): Socket => {
        const socket = connect(Number(authority.port), authority.hostname);
        traffic.add(socket);
        return socket;
      },
    });
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: this.#session,
      defaultTimeoutMs: timeoutMs,
      useBinaryFormat: true,
      interceptors: [
        (next) => async (request) => {
          request.header.set(PEER_KEY_HEADER, key);
          return next(request);
        },
      ],
    });
    this.calls = createClient(PeerService, transport);
  }

  /** Closes the session. */
  close(): void {
    this.#session.abort();
  }
}
