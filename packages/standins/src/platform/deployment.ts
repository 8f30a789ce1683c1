import { randomBytes, randomInt } from 'node:crypto';
import { once } from 'node:events';
import { mkdtempSync } from 'node:fs';
import { request, type IncomingMessage } from 'node:http';
import { tmpdir } from 'node:os';
import { setTimeout as sleep } from 'node:timers/promises';
import { NodeProcess } from './node-process.ts';
import { RunBook } from './run-record.ts';
import { StoreServer } from './store-server.ts';
import { StandinTarget, type StandinWork } from './target-process.ts';

/** Options of a deployment of stand-ins and nodes. */
export interface StandinDeploymentOptions {
  readonly nodes: number;
  readonly targets: number;
  readonly command: readonly string[];
  /** Opens the way of one node to the store; returns the address that the node uses. */
  readonly openLink?: (node: string, storeAddress: string) => Promise<string>;
}

/** What a caller got. */
export interface CallOutcome {
  /** 0 where there was no answer. */
  readonly status: number;
  readonly state: string | undefined;
  readonly retryAfter: string | undefined;
}

const HOST_NAME = 'host.example';
const PREFIX = '/checks/';
const KEY = 'stand-in-key';
const CALL_TIMEOUT_MS = 3_000;
const LOOK_MS = 50;
const FIRST_PORTS = 11_000;
const LAST_PORTS = 30_000;
const NODE_NETWORK = 20;

const CONFIGURATION = {
  version: 1,
  routes: [
    {
      name: 'checks',
      host: HOST_NAME,
      path_prefix: PREFIX,
      service: 'kartes',
      max_attempts: 3,
      stretch: 1.6,
      target_latency_ms: 600,
    },
  ],
  services: [{ name: 'kartes', enforces_capacity: true }],
  tenants: [{ name: 'kurzeme', api_keys: [KEY], weight: 100, cap: {} }],
};

/** A store, targets and nodes on the loopback addresses of this machine. */
export class StandinDeployment {
  readonly storeServer = new StoreServer();
  readonly book = new RunBook();
  readonly targets: StandinTarget[] = [];
  readonly nodes: NodeProcess[] = [];
  readonly #options: StandinDeploymentOptions;

  constructor(options: StandinDeploymentOptions) {
    this.#options = options;
  }

  /** Starts all and waits until every node is ready and one of them owns the fleet. */
  async start(): Promise<void> {
    const storeAddress = await this.storeServer.listen();
    const { store } = this.storeServer;
    const value = JSON.stringify(CONFIGURATION);
    const puts = [{ table: 'op', part: '', key: 'config', value }];
    await store.commit({ conditions: [], puts, removals: [] });
    for (let index = 0; index < this.#options.targets; index += 1) {
      const target = new StandinTarget(`t${index}`, 'kartes', store, this.book);
      this.targets.push(target);
      await target.open();
    }
    const directory = mkdtempSync(`${tmpdir()}/currantgap-`);
    const firstPort = randomInt(FIRST_PORTS, LAST_PORTS);
    const network = randomInt(NODE_NETWORK, 255);
    const { nodes, command, openLink } = this.#options;
    for (let index = 0; index < nodes; index += 1) {
      const name = `n${index}`;
      const linkAddress = await openLink?.(name, storeAddress);
      const node = new NodeProcess({
        name,
        host: `127.0.${network}.${index + 1}`,
        firstPort,
        storeAddress: linkAddress ?? storeAddress,
        directory,
        command,
      });
      this.nodes.push(node);
      node.start();
    }
    for (const node of this.nodes) while (!(await this.isReady(node))) await sleep(LOOK_MS);
    while (this.findOwner() === undefined) await sleep(LOOK_MS);
  }

  /** Ends all that this object started. */
  async close(): Promise<void> {
    await Promise.all(this.nodes.map((node) => node.kill()));
    for (const target of this.targets) target.close();
    this.storeServer.close();
  }

  /** Finds the node that holds the lease, as the store says. */
  findOwner(): NodeProcess | undefined {
    const key = { table: 'owner-lease', part: 'fleet', key: 'lease' };
    const value = this.storeServer.store.peek(key)?.value;
    if (value === undefined) return undefined;
    const { node } = JSON.parse(value) as { node: string };
    return this.nodes.find(({ options }) => options.name === node);
  }

  async isReady(node: NodeProcess): Promise<boolean> {
    const path = '/api/ready';
    return (await send(node.options.host, node.readinessPort, 'GET', path)).status === 200;
  }

  /** Submits steps of `count` tasks each, one after the other. */
  async submit(node: NodeProcess, id: string, counts: readonly number[], work: StandinWork) {
    const steps = counts.map((count, index) => ({
      count,
      cpu: work.cpu,
      mem_mb: 1,
      estimated_ms: work.ms,
      ...(index > 0 ? { after: [index - 1] } : {}),
    }));
    const body = JSON.stringify({ spec: JSON.stringify(work), steps });
    return send(node.options.host, node.callerPort, 'POST', `${PREFIX}${id}`, body);
  }

  async show(node: NodeProcess, id: string): Promise<CallOutcome> {
    return send(node.options.host, node.callerPort, 'GET', `${PREFIX}${id}`);
  }

  async cancel(node: NodeProcess, id: string): Promise<CallOutcome> {
    return send(node.options.host, node.callerPort, 'DELETE', `${PREFIX}${id}`);
  }

  /** Asks any running node until the submission is shown in one of the states. */
  async waitForState(id: string, states: readonly string[]): Promise<string> {
    for (;;) {
      for (const node of this.nodes) {
        if (!node.isRunning) continue;
        const { state } = await this.show(node, id);
        if (state !== undefined && states.includes(state)) return state;
      }
      await sleep(LOOK_MS);
    }
  }
}

/** Draws the id of a submission. */
export function drawId(): string {
  return randomBytes(8).toString('hex');
}

async function send(
  host: string,
  port: number,
  method: string,
  path: string,
  body?: string,
): Promise<CallOutcome> {
  const headers = { host: HOST_NAME, authorization: `Bearer ${KEY}` };
  const outgoing = request({ host, port, method, path, headers, timeout: CALL_TIMEOUT_MS });
  outgoing.on('timeout', () => outgoing.destroy(new Error('no answer')));
  outgoing.end(body);
  try {
    const [response] = (await once(outgoing, 'response')) as [IncomingMessage];
    let text = '';
    for await (const chunk of response) text += String(chunk);
    const { state } = (text === '' ? {} : JSON.parse(text)) as { state?: string };
    const retryAfter = response.headers['retry-after'];
    return { status: response.statusCode ?? 0, state, retryAfter };
  } catch {
    // No answer is an outcome of its own here, not a failure of the test.
    return { status: 0, state: undefined, retryAfter: undefined };
  }
}
