import { once } from 'node:events';
import { Agent, createServer, request } from 'node:http';

/** HTTP/1.1 server with JSON bodies on a loopback address. */
export class JsonServer {
  /** `host:port`, once the server listens. */
  address = '';
  #server;
  #sockets = new Set();

  /**
   * @param {(call: { method: string, url: URL, headers: object, body: any }) =>
   *   Promise<{ status: number, body?: object } | undefined>} handle Answers a call; undefined resets
   *   the connection.
   */
  constructor(handle) {
    this.#server = createServer((incoming, response) => {
      answer(handle, incoming, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 60_000;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
  }

  /** Starts to listen; port 0 takes a free one. */
  async listen(port = 0) {
    this.#server.listen(port, '127.0.0.1');
    await once(this.#server, 'listening');
    this.address = `127.0.0.1:${this.#server.address().port}`;
  }

  get port() {
    return Number(this.address.slice(this.address.lastIndexOf(':') + 1));
  }

  /** Closes the listener and resets all connections, as when the process ends. */
  close() {
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }
}

async function answer(handle, incoming, response) {
  let text = '';
  for await (const chunk of incoming) text += chunk;
  const url = new URL(incoming.url, 'http://standin');
  const body = text === '' ? {} : JSON.parse(text);
  const result = await handle({ method: incoming.method, url, headers: incoming.headers, body });
  if (result === undefined) {
    response.destroy();
    return;
  }
  const content = JSON.stringify(result.body ?? {});
  response.writeHead(result.status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(content),
  });
  response.end(content);
}

const agent = new Agent({ keepAlive: true });

/**
 * Sends a request and waits for its answer for `timeoutMs` milliseconds; status 0 stands for none.
 *
 * @param {{ host: string, port: number, method: string, path: string, headers?: object, body?: object,
 *   timeoutMs: number }} options
 * @returns {Promise<{ status: number, body: any }>}
 */
export function send({ host, port, method, path, headers = {}, body, timeoutMs }) {
  return new Promise((resolve) => {
    const outgoing = request({ host, port, method, path, headers, agent });
    const timer = setTimeout(() => outgoing.destroy(new Error('no answer in time')), timeoutMs);
    const finish = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    outgoing.on('error', () => finish({ status: 0, body: undefined }));
    outgoing.on('response', async (response) => {
      let text = '';
      try {
        for await (const chunk of response) text += chunk;
        finish({ status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) });
      } catch {
        finish({ status: 0, body: undefined });
      }
    });
    outgoing.end(body === undefined ? undefined : JSON.stringify(body));
  });
}
