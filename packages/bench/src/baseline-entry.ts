import { Agent, createServer, request, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { BaselineOrder, BaselineTarget } from './baseline.ts';

/**
 * The plain baseline of the measures: one queue in order of arrival, targets in turn, and a fixed
 * split of every target's slots and every team's limit among the entries.
 */
interface Waiting {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly team: string;
  readonly body: Buffer;
  readonly deadline: number;
}

const DEFAULT_TIMEOUT_MS = 10_000;
const SWEEP_MS = 50;

const order = JSON.parse(process.argv[2] ?? '') as BaselineOrder;
const agent = new Agent({ keepAlive: true });
const out = new Set<string>();
const inFlight = new Map<string, number>();
const running = new Map<string, number>();
let queue: Waiting[] = [];
let next = 0;

const server = createServer((incoming, response) => {
  const chunks: Buffer[] = [];
  incoming.on('data', (chunk: Buffer) => chunks.push(chunk));
  incoming.on('end', () => {
    accept(incoming, response, Buffer.concat(chunks));
  });
});

function accept(incoming: IncomingMessage, response: ServerResponse, body: Buffer): void {
  const url = new URL(incoming.url ?? '/', 'http://entry');
  if (url.pathname === '/admin') {
    const dataCentre = url.searchParams.get('dataCentre') ?? '';
    if (url.searchParams.get('out') === 'true') out.add(dataCentre);
    else out.delete(dataCentre);
    response.end();
    return;
  }
  const timeoutMs = Number(incoming.headers['currantgap-timeout-ms'] ?? DEFAULT_TIMEOUT_MS);
  const team = String(incoming.headers['standin-team'] ?? '');
  queue.push({ incoming, response, team, body, deadline: performance.now() + timeoutMs });
  pump();
}

function pump(): void {
  for (;;) {
    const position = queue.findIndex(
      (item) => (running.get(item.team) ?? 0) < splitLimit(item.team),
    );
    if (position < 0) return;
    const target = chooseTarget();
    if (target === undefined) return;
    const [item] = queue.splice(position, 1);
    if (item !== undefined) send(item, target);
  }
}

function chooseTarget(): BaselineTarget | undefined {
  const first = next + 1;
  for (const offset of order.targets.keys()) {
    const index = (first + offset) % order.targets.length;
    const target = order.targets[index];
    if (target === undefined || out.has(target.dataCentre)) continue;
    if ((inFlight.get(target.address) ?? 0) >= splitSlots(index)) continue;
    next = index;
    return target;
  }
  return undefined;
}

/** Splits slots evenly; which entries have one more differs from target to target. */
function splitSlots(target: number): number {
  const rest = order.slots % order.entryCount;
  const isRicher = (order.index + target) % order.entryCount < rest;
  return Math.floor(order.slots / order.entryCount) + (isRicher ? 1 : 0);
}

function splitLimit(team: string): number {
  return Math.max(1, Math.floor((order.limits[team] ?? 0) / order.entryCount));
}

function send(item: Waiting, target: BaselineTarget): void {
  add(inFlight, target.address, 1);
  add(running, item.team, 1);
  const [host = '', port = '0'] = target.address.split(':');
  const finish = (): void => {
    add(inFlight, target.address, -1);
    add(running, item.team, -1);
    pump();
  };
  const outgoing = request(
    { agent, host, port: Number(port), method: 'POST', path: '/', headers: item.incoming.headers },
    (answer) => {
      const isRefused = answer.headers['currantgap-outcome'] === 'not-run';
      const outcome = isRefused ? 'not-run' : 'ran';
      item.response.writeHead(answer.statusCode ?? 0, { 'currantgap-outcome': outcome });
      answer.pipe(item.response);
      answer.on('end', finish);
    },
  );
  outgoing.on('error', () => {
    item.response.destroy();
    finish();
  });
  outgoing.end(item.body);
}

function add(counts: Map<string, number>, key: string, change: number): void {
  counts.set(key, (counts.get(key) ?? 0) + change);
}

setInterval(() => {
  const now = performance.now();
  for (const item of queue.filter((waiting) => waiting.deadline <= now)) {
    item.response.writeHead(504, { 'currantgap-outcome': 'not-run' });
    item.response.end();
  }
  queue = queue.filter((waiting) => waiting.deadline > now);
}, SWEEP_MS);

server.listen(0, '127.0.0.1', () => {
  process.stdout.write(String((server.address() as AddressInfo).port));
});
