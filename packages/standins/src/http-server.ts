import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Handles one request of a stand-in. */
export type Handler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** A stand-in's HTTP server on a loopback port. */
export abstract class StandinServer {
  readonly #server: Server;

  constructor() {
    this.#server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = KEEP_ALIVE_MS;
  }

  /** Listens on a port; 0 takes a free one. Returns the address as `host:port`. */
  async listen(port = 0): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(port, '127.0.0.1', resolve));
    return this.address;
  }

  /** Address as `host:port`, once it listens. */
  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Closes the server and its connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  protected abstract handle(request: IncomingMessage, response: ServerResponse): Promise<void>;
}

const KEEP_ALIVE_MS = 60_000;

/** Reads the whole body of a request. */
export async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}
