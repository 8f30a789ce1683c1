import { randomBytes, randomInt } from 'node:crypto';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { setTimeout as sleep } from 'node:timers/promises';
import { Executor } from './executor.js';
import { send } from './http.js';
import { Machines } from './machines.js';
import { NodeProcess } from './node-process.js';
import { Store } from './store.js';

/** Milliseconds that a client waits for an answer. */
const TIME_LIMIT_MS = 3_000;
const POLL_MS = 50;
/** Cores that a task requests unless the case says otherwise. */
export const TASK_CORES = 2;
const START_LIMIT_MS = 20_000;
const HOST_NAME = 'queue.example';
const KEY = 'key-of-the-tenant';
export const SERVICE = 'kartes';
export const QUEUE = 'crack-check';
/** Figures of the smallest installation of the users, as its sheet states them. */
const SETTINGS = {
  region: 'latvija',
  'zones.riga-a': 'latvija',
  'zones.riga-b': 'latvija',
  bootstrap: true,
  'limits.cpu_share': 0.675,
  'limits.cores': 1,
  'limits.memory_mb': 350,
  'limits.file_descriptors': 4100,
  'limits.link_mbps': 1000,
  heartbeat_ms: 1500,
  'platform.form': 'table',
  'platform.row_bytes': 65_536,
  'bounds.contact_ms': 3000,
  'bounds.ack_ms': 4000,
  'bounds.drain_ms': 2000,
  'bounds.grace_s': 6,
  'bounds.config_apply_ms': 2000,
  'bounds.revoke_ms': 5000,
  'bounds.hold_max_ms': 10_000,
  'bounds.stop_ms': 900,
  'bounds.gang_timeout_ms': 3000,
  'bounds.cancel_ms': 3000,
  'bounds.visible_ms': 3000,
  'bounds.early_ms': 250,
  'bounds.finish_s': 14,
  'bounds.status_s': 120,
  'bounds.far_factor': 1.5,
  'bounds.checkpoint_s': 2,
  'bounds.restore_ms': 600,
  'bounds.notice_ms': 4500,
  'bounds.move_s': 1.5,
  'bounds.upkeep_s': 2,
  'bounds.lease_ms': 3000,
  'bounds.harm_ms': 4000,
  commands: 'call',
};

/** A small installation: the platform and the executors as stand-ins, and processes of the system. */
export class Deployment {
  store = new Store();
  record;
  nodes = [];
  /** All runs that executors have begun. */
  runs = [];
  machines;
  executors = [];
  #directory = mkdtempSync(`${tmpdir()}/review-`);
  #configVersion = 0;
  #network = randomInt(20, 250);
  #port = randomInt(11_000, 30_000);
  #executorCount = 0;

  /** @param {import('./record.js').Record} record */
  constructor(record) {
    this.record = record;
  }

  /** Starts the store, with a first manifest, and the service for machines if it is asked for. */
  async openPlatform({ hasMachines = false } = {}) {
    await this.store.open();
    this.configure([QUEUE]);
    if (!hasMachines) return;
    this.machines = new Machines({
      record: this.record,
      openExecutor: (machine) => this.openExecutor({ machine }),
    });
    await this.machines.open();
  }

  /** Writes a manifest with these queues, all of one service and one tenant. */
  configure(queues) {
    this.#configVersion += 1;
    this.store.write('op', 'config', {
      version: this.#configVersion,
      routes: queues.map((name) => ({
        name,
        host: HOST_NAME,
        path_prefix: `/${name}/`,
        service: SERVICE,
        priority: 0,
        max_attempts: 2,
        stretch: 1.6,
        target_latency_ms: 600,
      })),
      services: [{ name: SERVICE, enforces_capacity: true }],
      tenants: [{ name: 'kurzeme', api_keys: [KEY], weight: 100, cap: {} }],
      limits: {},
    });
    this.record.write(`manifest ${this.#configVersion} acknowledged: ${queues.join(' ')}`);
  }

  /** Starts an executor; without an id it gets one that no other has had. */
  async openExecutor({ id, port, zone = 'riga-a', cores = 32, stopMs = 100, machine } = {}) {
    this.#executorCount += 1;
    const executor = new Executor({
      id: id ?? `w${this.#executorCount}-${randomBytes(3).toString('hex')}`,
      service: SERVICE,
      zone,
      rack: `r-${zone}`,
      machine,
      capacity: { cpu: cores * 1_000, mem_mb: 131_072, gpu: 0 },
      stopMs,
      store: this.store,
      record: this.record,
      onRun: (run) => this.runs.push(run),
    });
    await executor.open(port);
    this.executors.push(executor);
    return executor;
  }

  /** Starts a process of the system in each of the zones and waits until all are ready. */
  async startNodes(zones) {
    const added = zones.map((zone) => this.#addNode(zone));
    for (const node of added) node.start();
    const startedAt = this.record.now;
    for (const node of added) {
      while (!(await this.#isReady(node)) || this.findOwner() === undefined) {
        if (this.record.now > startedAt + START_LIMIT_MS) throw new Error('the system is not up');
        await sleep(POLL_MS);
      }
      this.record.write(`process ${node.name} is ready`);
    }
  }

  #addNode(zone) {
    const index = this.nodes.length + 1;
    const node = new NodeProcess({
      name: `edge-${zone}-${index}`,
      host: `127.0.${this.#network}.${index}`,
      port: this.#port,
      zone,
      directory: this.#directory,
      settings: {
        ...SETTINGS,
        'platform.address': this.store.address,
        ...(this.machines === undefined ? {} : { 'cloud_api.address': this.machines.address }),
      },
    });
    this.nodes.push(node);
    return node;
  }

  async #isReady({ host, readyPort: port }) {
    const options = { host, port, method: 'GET', path: '/api/ready', timeoutMs: 500 };
    return (await send(options)).status === 200;
  }

  /** Finds the process that wrote the system's lease into the store last. */
  findOwner() {
    const holder = this.store.read('owner-lease', 'fleet', 'lease')?.node;
    return this.nodes.find(({ name }) => name === holder);
  }

  /** Sends a call of a client and records it with its answer. */
  async call(node, method, id, { body, queue = QUEUE, timeoutMs = TIME_LIMIT_MS } = {}) {
    const { host, port, name } = node;
    const headers = {
      host: HOST_NAME,
      authorization: `Bearer ${KEY}`,
      'x-deadline-ms': String(timeoutMs),
      ...(body === undefined ? {} : { 'content-type': 'application/json' }),
    };
    const path = `/${queue}/${id}`;
    this.record.write(`${method} ${path} sent to ${name}`);
    const answer = await send({ host, port, method, path, headers, body, timeoutMs });
    const state = answer.body?.state ?? '';
    this.record.write(`${method} ${path} answered by ${name}: ${answer.status} ${state}`);
    return { status: answer.status, state };
  }

  /** Submits one step of `count` tasks of `ms` milliseconds on `cores` cores each. */
  async submit(node, id, { count = 1, ms, cores = TASK_CORES, queue, timeoutMs }) {
    const request = { cpu: cores * 1_000, mem_mb: 512 };
    const body = {
      spec: JSON.stringify({ ms, request }),
      steps: [{ count, ...request, estimated_ms: ms }],
    };
    return this.call(node, 'POST', id, { body, queue, timeoutMs });
  }

  /**
   * Whether the executors have capacity for a request in thousandths of a core twice over, and under half of
   * their capacity is in use. The tenant has no `cap`.
   */
  hasRoom(cpu) {
    const ready = this.executors.filter(({ isReady }) => isReady);
    const total = ready.reduce((sum, { capacity }) => sum + capacity.cpu, 0);
    const used = ready
      .flatMap(({ runs }) => runs)
      .reduce((sum, { request }) => sum + request.cpu, 0);
    return total - used >= 2 * cpu && used < total / 2;
  }

  /** Ends everything that was started. */
  async close() {
    await Promise.all(this.nodes.map((node) => node.kill()));
    for (const executor of this.executors) executor.end('the test is over');
    this.machines?.close();
    this.store.close();
    if (process.env.KEEP === undefined) rmSync(this.#directory, { recursive: true });
    else process.stderr.write(`${this.#directory}\n`);
  }
}

/** Creates an id of a submission. */
export function createId() {
  return randomBytes(8).toString('hex');
}
