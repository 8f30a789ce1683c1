import { Agent, createServer, request } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A bare pass-through over Node's `http` with kept connections: the baseline of the relay bench. */
const targets = process.argv.slice(2).map((address) => {
  const [host = '', port = '0'] = address.split(':');
  return { host, port: Number(port) };
});
const agent = new Agent({ keepAlive: true });
let next = 0;

const server = createServer((incoming, response) => {
  next += 1;
  const outgoing = request(
    {
      agent,
      ...targets[next % targets.length],
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
