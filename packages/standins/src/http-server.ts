import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Handles one request to a stand-in. */
export type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Base class of the stand-ins: an HTTP server on a loopback port. */
export abstract class StandinServer {
  readonly #server: Server;

  constructor() {
    this.#server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = KEEP_ALIVE_MS;
  }

  /** Listens on a port; 0 chooses a free one. Returns the address as `host:port`. */
  async listen(port = 0): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(port, '127.0.0.1', resolve));
    return this.address;
  }

  /** Address as `host:port`; valid only while the server listens. */
  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Closes the server and all its connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Handles one request; a rejection closes the connection without a response. */
  protected abstract handle(request: IncomingMessage, response: ServerResponse): Promise<void>;
}

const KEEP_ALIVE_MS = 60_000;

/** Reads the body of a request as UTF-8. */
export async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** Sends a JSON response. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
