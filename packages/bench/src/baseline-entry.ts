/**
 * Entry of the baseline to which the product is compared: one queue in order of arrival, targets
 * chosen round robin, and a fixed split of each target's slots and each team's limit among the
 * entries. Its first argument is a `BaselineEntryOptions` as JSON. It prints its port.
 */
import { Agent, createServer, request, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { BaselineEntryOptions, BaselineTarget } from './baseline.ts';

interface QueuedRequest {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly team: string;
  readonly body: Buffer;
  /** Milliseconds of this process's monotonic clock. */
  readonly deadline: number;
}

const DEFAULT_TIMEOUT_MS = 10_000;
const EXPIRY_PERIOD_MS = 50;

const options = JSON.parse(process.argv[2] ?? '') as BaselineEntryOptions;
const agent = new Agent({ keepAlive: true });
const outOfService = new Set<string>();
const inFlight = new Map<string, number>();
const running = new Map<string, number>();
let queue: QueuedRequest[] = [];
let lastIndex = 0;

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
    if (url.searchParams.get('out') === 'true') outOfService.add(dataCentre);
    else outOfService.delete(dataCentre);
    response.end();
    return;
  }
  const timeoutMs = Number(incoming.headers['currantgap-timeout-ms'] ?? DEFAULT_TIMEOUT_MS);
  const team = String(incoming.headers['standin-team'] ?? '');
  queue.push({ incoming, response, team, body, deadline: performance.now() + timeoutMs });
  dispatchQueue();
}

/** Sends queued requests while their team's limit and a target's slots allow it. */
function dispatchQueue(): void {
  for (;;) {
    const position = queue.findIndex(
      (item) => (running.get(item.team) ?? 0) < computeLimitShare(item.team),
    );
    if (position < 0) return;
    const target = chooseTarget();
    if (target === undefined) return;
    const [item] = queue.splice(position, 1);
    if (item !== undefined) send(item, target);
  }
}

/** Chooses the next target in service with a free slot; undefined if there is none. */
function chooseTarget(): BaselineTarget | undefined {
  const first = lastIndex + 1;
  for (const offset of options.targets.keys()) {
    const index = (first + offset) % options.targets.length;
    const target = options.targets[index];
    if (target === undefined || outOfService.has(target.dataCentre)) continue;
    if ((inFlight.get(target.address) ?? 0) >= computeSlotShare(index)) continue;
    lastIndex = index;
    return target;
  }
  return undefined;
}

/**
 * Computes this entry's share of a target's slots. Slots are split evenly; the entries that get one
 * of the remaining slots differ from target to target.
 */
function computeSlotShare(target: number): number {
  const remainder = options.slots % options.entryCount;
  const hasExtraSlot = (options.index + target) % options.entryCount < remainder;
  return Math.floor(options.slots / options.entryCount) + (hasExtraSlot ? 1 : 0);
}

/** Computes this entry's share of a team's limit, at least 1. */
function computeLimitShare(team: string): number {
  return Math.max(1, Math.floor((options.limits[team] ?? 0) / options.entryCount));
}

function send(item: QueuedRequest, target: BaselineTarget): void {
  add(inFlight, target.address, 1);
  add(running, item.team, 1);
  const [host = '', port = '0'] = target.address.split(':');
  const finish = (): void => {
    add(inFlight, target.address, -1);
    add(running, item.team, -1);
    dispatchQueue();
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
  for (const item of queue.filter((queued) => queued.deadline <= now)) {
    item.response.writeHead(504, { 'currantgap-outcome': 'not-run' });
    item.response.end();
  }
  queue = queue.filter((queued) => queued.deadline > now);
}, EXPIRY_PERIOD_MS);

server.listen(0, '127.0.0.1', () => {
  process.stdout.write(String((server.address() as AddressInfo).port));
});
