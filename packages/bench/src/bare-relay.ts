/**
 * Bare proxy over Node's `http` with persistent connections: the baseline of the relay benchmark.
 * Its arguments are the addresses of the targets. It prints its port.
 */
import { Agent, createServer, request } from 'node:http';
import type { AddressInfo } from 'node:net';

const targets = process.argv.slice(2).map((address) => {
  const [host = '', port = '0'] = address.split(':');
  return { host, port: Number(port) };
});
const agent = new Agent({ keepAlive: true });
let requestCount = 0;

const server = createServer((incoming, response) => {
  requestCount += 1;
  const outgoing = request(
    {
      agent,
      ...targets[requestCount % targets.length],
      method: incoming.method,
      path: incoming.url,
      headers: incoming.headers,
    },
    (answer) => {
      response.writeHead(answer.statusCode ?? 0, answer.headers);
      answer.pipe(response);
    },
  );
  incoming.pipe(outgoing);
});

server.listen(0, '127.0.0.1', () => {
  process.stdout.write(String((server.address() as AddressInfo).port));
});
