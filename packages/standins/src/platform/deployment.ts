import { randomBytes, randomInt } from 'node:crypto';
import { once } from 'node:events';
import { mkdtempSync } from 'node:fs';
import { Agent, request, type IncomingMessage } from 'node:http';
import { tmpdir } from 'node:os';
import { setTimeout as sleep } from 'node:timers/promises';
import { NodeProcess } from './node-process.ts';
import { RunHistory } from './run-history.ts';
import { StoreServer } from './store-server.ts';
import { StandinTarget } from './standin-target.ts';
import type { StandinTaskSpec } from './target-incarnation.ts';

/** Options of a deployment of stand-ins and nodes under test. */
export interface StandinDeploymentOptions {
  /** Number of nodes. */
  readonly nodes: number;
  /** Number of targets. */
  readonly targets: number;
  /** Program that runs the product, followed by its arguments. */
  readonly command: readonly string[];
  /** Opens a proxy between one node and the store; returns the address for the node. */
  readonly openStoreProxy?: (node: string, storeAddress: string) => Promise<string>;
}

/** Response of a node to a caller. */
export interface SubmissionResponse {
  /** Monotonic time in milliseconds at which the whole request was sent; undefined if it was not. */
  readonly sentAt: number | undefined;
  /** Whether the connection ended after the request and before the end of the response. */
  readonly isCut: boolean;
  /** HTTP status; 0 without a response. */
  readonly status: number;
  /** State of the submission, if the response has one. */
  readonly state: string | undefined;
  /** Number of waiting submissions, if the response has one. */
  readonly waiting: number | undefined;
  /** Value of the `retry-after` header. */
  readonly retryAfter: string | undefined;
}

/** Host of the route; the caller sends it in the `host` header. */
const HOST_NAME = 'host.example';
const PREFIX = '/checks/';
const KEY = 'stand-in-key';
const ROUTE = {
  name: 'checks',
  host: HOST_NAME,
  service: 'kartes',
  max_attempts: 3,
  stretch: 1.6,
  target_latency_ms: 600,
};
const CALL_TIMEOUT_MS = 3_000;
const POLL_MS = 50;
/** Keeps connections open between requests, as callers do. */
const agent = new Agent({ keepAlive: true });
const LOWEST_FIRST_PORT = 11_000;
const HIGHEST_FIRST_PORT = 30_000;
/** Lowest third octet of the nodes' loopback addresses. */
const LOWEST_NETWORK = 20;

/** A store, targets and nodes on loopback addresses. */
export class StandinDeployment {
  readonly storeServer = new StoreServer();
  readonly runHistory = new RunHistory();
  readonly targets: StandinTarget[] = [];
  readonly nodes: NodeProcess[] = [];
  /** Directory of the nodes' settings and log files. */
  readonly directory = mkdtempSync(`${tmpdir()}/currantgap-`);
  #configurationVersion = 0;
  readonly #options: StandinDeploymentOptions;

  constructor(options: StandinDeploymentOptions) {
    this.#options = options;
  }

  /** Starts everything and waits until every node is ready and one of them owns the fleet. */
  async start(): Promise<void> {
    const storeAddress = await this.storeServer.listen();
    await this.configure([]);
    await this.openTargets(this.#options.targets);
    const firstPort = randomInt(LOWEST_FIRST_PORT, HIGHEST_FIRST_PORT);
    const network = randomInt(LOWEST_NETWORK, 255);
    const { nodes, command, openStoreProxy } = this.#options;
    for (let index = 0; index < nodes; index += 1) {
      const name = `n${index}`;
      const proxyAddress = await openStoreProxy?.(name, storeAddress);
      const node = new NodeProcess({
        name,
        host: `127.0.${network}.${index + 1}`,
        firstPort,
        storeAddress: proxyAddress ?? storeAddress,
        directory: this.directory,
        command,
      });
      this.nodes.push(node);
      node.start();
    }
    for (const node of this.nodes) while (!(await this.isReady(node))) await sleep(POLL_MS);
    while (this.findOwner() === undefined) await sleep(POLL_MS);
  }

  /** Writes a configuration with the permanent route and key, and a route and a key per name. */
  async configure(names: readonly string[]): Promise<void> {
    this.#configurationVersion += 1;
    const value = JSON.stringify({
      version: this.#configurationVersion,
      routes: [{ ...ROUTE, path_prefix: PREFIX }, ...names.map(buildRoute)],
      services: [{ name: 'kartes', enforces_capacity: true }],
      tenants: [{ name: 'kurzeme', api_keys: [KEY, ...names], weight: 100, cap: {} }],
    });
    const puts = [{ table: 'op', part: '', key: 'config', value }];
    await this.storeServer.store.commit({ conditions: [], puts, removals: [] });
  }

  /** Starts and registers further targets. */
  async openTargets(count: number): Promise<void> {
    const { store } = this.storeServer;
    for (let index = 0; index < count; index += 1) {
      const id = `t${this.targets.length}`;
      const target = new StandinTarget(id, 'kartes', store, this.runHistory);
      this.targets.push(target);
      await target.open();
    }
  }

  /** Kills the nodes and closes the targets and the store. */
  async close(): Promise<void> {
    await Promise.all(this.nodes.map((node) => node.kill()));
    for (const target of this.targets) target.close();
    this.storeServer.close();
  }

  /** Finds the node that holds the owner lease in the store. */
  findOwner(): NodeProcess | undefined {
    const lease = this.#readLease();
    return this.nodes.find(({ options }) => options.name === lease?.node);
  }

  /** Counts the take-overs so far. */
  countTakeOvers(): number {
    return this.#readLease()?.epoch ?? 0;
  }

  #readLease(): { readonly node: string; readonly epoch: number } | undefined {
    const key = { table: 'owner-lease', part: 'fleet', key: 'lease' };
    const value = this.storeServer.store.peek(key)?.value;
    return value === undefined
      ? undefined
      : (JSON.parse(value) as { readonly node: string; readonly epoch: number });
  }

  /** Whether the readiness check of a node succeeds. */
  async isReady(node: NodeProcess): Promise<boolean> {
    const path = '/api/ready';
    return (await send(node.options.host, node.readinessPort, 'GET', path)).status === 200;
  }

  /** Submits one step per task count; each step depends on the previous one. */
  async submit(
    node: NodeProcess,
    id: string,
    taskCounts: readonly number[],
    taskSpec: StandinTaskSpec,
  ) {
    const steps = taskCounts.map((count, index) => ({
      count,
      cpu: taskSpec.cpu,
      mem_mb: 1,
      estimated_ms: taskSpec.ms,
      ...(taskSpec.isPersistent === true ? { persistent: true } : {}),
      ...(index > 0 ? { after: [index - 1] } : {}),
    }));
    const body = JSON.stringify({ spec: JSON.stringify(taskSpec), steps });
    return send(node.options.host, node.callerPort, 'POST', `${PREFIX}${id}`, body);
  }

  /** Requests the state of a submission. */
  async getSubmission(node: NodeProcess, id: string): Promise<SubmissionResponse> {
    return send(node.options.host, node.callerPort, 'GET', `${PREFIX}${id}`);
  }

  /** Requests the number of submissions that wait, by the route and with the key of a name. */
  async countWaiting(node: NodeProcess, name?: string): Promise<SubmissionResponse> {
    const path = name === undefined ? PREFIX : `/${name}/`;
    return send(node.options.host, node.callerPort, 'GET', path, undefined, name);
  }

  /** Requests the cancellation of a submission. */
  async cancel(node: NodeProcess, id: string): Promise<SubmissionResponse> {
    return send(node.options.host, node.callerPort, 'DELETE', `${PREFIX}${id}`);
  }

  /** Polls the running nodes until one reports one of the states; returns that state. */
  async waitForState(id: string, states: readonly string[]): Promise<string> {
    for (;;) {
      for (const node of this.nodes) {
        if (!node.isRunning) continue;
        const { state } = await this.getSubmission(node, id);
        if (state !== undefined && states.includes(state)) return state;
      }
      await sleep(POLL_MS);
    }
  }
}

/** Creates a random submission id. */
export function createSubmissionId(): string {
  return randomBytes(8).toString('hex');
}

function buildRoute(name: string): object {
  return { ...ROUTE, name, path_prefix: `/${name}/` };
}

async function send(
  host: string,
  port: number,
  method: string,
  path: string,
  body?: string,
  key = KEY,
): Promise<SubmissionResponse> {
  const headers = { host: HOST_NAME, authorization: `Bearer ${key}` };
  const options = { host, port, method, path, headers, timeout: CALL_TIMEOUT_MS, agent };
  let sentAt: number | undefined;
  let hasTimedOut = false;
  const outgoing = request(options);
  outgoing.on('finish', () => {
    sentAt = performance.now();
  });
  outgoing.on('timeout', () => {
    hasTimedOut = true;
    outgoing.destroy(new Error('no response before the timeout'));
  });
  outgoing.end(body);
  try {
    const [response] = (await once(outgoing, 'response')) as [IncomingMessage];
    let text = '';
    for await (const chunk of response) text += String(chunk);
    const { state, waiting } = (text === '' ? {} : JSON.parse(text)) as {
      state?: string;
      waiting?: number;
    };
    const retryAfter = response.headers['retry-after'];
    const status = response.statusCode ?? 0;
    return { sentAt, isCut: false, status, state, waiting, retryAfter };
  } catch {
    // A missing response is an expected result here, not a failure of the test.
    const isCut = sentAt !== undefined && !hasTimedOut;
    const [state, waiting, retryAfter] = [undefined, undefined, undefined];
    return { sentAt, isCut, status: 0, state, waiting, retryAfter };
  }
}
