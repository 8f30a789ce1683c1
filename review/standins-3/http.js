import { Agent, createServer, request } from 'node:http';

/** Reads a request or response body as text. */
export async function readText(stream) {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

/** Answers with a JSON body. */
export function sendJson(response, status, body) {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Starts an HTTP server on a loopback address; resolves with its port. */
export async function listen(handle, host = '127.0.0.1', port = 0) {
  const server = createServer((incoming, response) => {
    handle(incoming, response).catch(() => response.destroy());
  });
  // Clients keep connections for long; they decide when to close them.
  server.keepAliveTimeout = 120_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return { server, address: `${host}:${server.address().port}` };
}

const agent = new Agent({ keepAlive: true });

/**
 * Sends a request and resolves with the status and the JSON body; the status is 0 if there is no complete
 * response within `timeoutMs`.
 */
export async function send({ host, port, method, path, headers = {}, body, timeoutMs = 3_000 }) {
  return new Promise((resolve) => {
    const fail = () => {
      clearTimeout(timer);
      resolve({ status: 0, body: undefined });
    };
    const outgoing = request({ agent, host, port, method, path, headers });
    const timer = setTimeout(() => outgoing.destroy(new Error('timeout')), timeoutMs);
    outgoing.on('error', fail);
    outgoing.on('response', (response) => {
      readText(response).then((text) => {
        clearTimeout(timer);
        resolve({ status: response.statusCode, body: parse(text) });
      }, fail);
    });
    outgoing.end(body === undefined ? undefined : JSON.stringify(body));
  });
}

function parse(text) {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
