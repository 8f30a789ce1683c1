import type { Endpoint } from '@currantgap/platform-adapter';
import { listenOn } from '@currantgap/tasks';
import { createServer, type RequestListener, type Server } from 'node:http';

const HEADER_TIMEOUT_MS = 10_000;
const MAXIMUM_HEADER_BYTES = 65_536;

/** The HTTP listeners of a node. */
export class HttpListeners {
  readonly #servers: Server[] = [];

  /** Starts a listener; rejects if the address cannot be bound. */
  async listen(endpoint: Endpoint, handle: RequestListener): Promise<Server> {
    const server = createServer(
      { maxHeaderSize: MAXIMUM_HEADER_BYTES, headersTimeout: HEADER_TIMEOUT_MS },
      handle,
    );
    this.#servers.push(server);
    await listenOn(server, endpoint.host, endpoint.port);
    return server;
  }

  /** Closes all listeners and their connections at once. */
  close(): void {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }
}
