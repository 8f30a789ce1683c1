import { createServer } from 'node:http';

/** Reads the whole body of a request. */
export async function readBody(request) {
  let text = '';
  for await (const chunk of request) text += chunk;
  return text;
}

/** Sends a JSON response. */
export function sendJson(response, status, body, headers = {}) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response
    .writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
      ...headers,
    })
    .end(text);
}

/** An HTTP server on a loopback address. */
export class LoopbackServer {
  #server;

  /** Starts listening on a free port; resolves to `host:port`. */
  async listen(host = '127.0.0.1') {
    this.#server = createServer((request, response) => {
      Promise.resolve(this.handle(request, response)).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.#server.address().port}`;
    return this.address;
  }

  /** Resets all connections and goes on listening. */
  dropConnections() {
    this.#server?.closeAllConnections();
  }

  /** Closes the listener and all connections. */
  close() {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}
