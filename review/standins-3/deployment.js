import { spawn } from 'node:child_process';
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { StandinExecutor } from './executor.js';
import { send } from './http.js';
import { Record } from './record.js';
import { StandinStore } from './store.js';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const HOST_NAME = 'mab.example';
const KEY = 'key-of-kurzeme';
const START_TIMEOUT_MS = 20_000;
const POLL_MS = 50;
/** Ports of each node: `front`, `ready` and the internal ones. */
const PORTS = 5;

/** A small deployment: nodes of the product as processes, and stand-ins of all that they talk to. */
export class Deployment {
  store = new StandinStore();
  executors = [];
  nodes = [];
  record;
  #directory = mkdtempSync(`${tmpdir()}/currantgap-review-`);
  #version = 0;
  #settings;
  #storeAddress;

  /** `settings` are lines of the settings file beside the usual ones. */
  constructor(recordPath, settings = []) {
    this.record = new Record(recordPath);
    this.#settings = settings;
  }

  /** Starts the stand-ins and the nodes; resolves once all nodes are ready and one owns the fleet. */
  async start({ nodes, executors, configuration, ticketOf }) {
    this.#storeAddress = await this.store.open();
    this.configure(configuration);
    for (let index = 0; index < executors; index += 1) {
      const options = { id: `x${index}`, service: 'kartes', zone: 'riga-a', rack: `r${index % 2}` };
      const { store, record } = this;
      const executor = new StandinExecutor({ ...options, store, record, ticketOf });
      this.executors.push(executor);
      await executor.open();
    }
    const network = 20 + Math.floor(Math.random() * 200);
    const hosts = Array.from({ length: nodes }, (_, index) => `127.0.${network}.${index + 1}`);
    const firstPort = await findFreePorts(hosts);
    for (const [index, host] of hosts.entries()) {
      const node = new NodeProcess(`n${index}`, host, firstPort, this.#directory);
      node.writeSettings(this.#buildSettings(node));
      this.nodes.push(node);
      node.start();
    }
    const deadline = performance.now() + START_TIMEOUT_MS;
    while (!(await this.#isServing())) {
      if (performance.now() > deadline) throw new Error('the deployment does not start');
      await sleep(POLL_MS);
    }
    this.record.write('deployment ready', { owner: this.findOwner()?.name });
  }

  /** Writes the next manifest as the operator. */
  configure({ routes, ...others }) {
    this.#version += 1;
    this.store.put('op', 'config', {
      version: this.#version,
      routes: routes.map((route) => ({
        host: HOST_NAME,
        path_prefix: `/${route.name}/`,
        service: 'kartes',
        priority: 0,
        max_attempts: 3,
        stretch: 1.6,
        target_latency_ms: 600,
        timeout_ms: 3_000,
        ...route,
      })),
      services: [{ name: 'kartes', enforces_capacity: true }],
      tenants: [{ name: 'kurzeme', api_keys: [KEY], weight: 100, cap: {} }],
      ...others,
    });
    const names = routes.map(({ name }) => name).join(',');
    this.record.write('manifest acknowledged', { version: this.#version, routes: names });
  }

  /** Changes the settings files of all nodes, and tells them by SIGHUP. */
  changeSettings(settings) {
    this.#settings = settings;
    for (const node of this.nodes) {
      node.writeSettings(this.#buildSettings(node));
      node.signal('SIGHUP');
    }
    this.record.write('settings changed', { lines: settings.join(';') });
  }

  /** Finds the running node that holds the lease of the fleet. */
  findOwner() {
    const lease = this.store.peek('owner-lease', 'fleet', 'lease');
    return this.nodes.find(({ name, isRunning }) => isRunning && name === lease?.node);
  }

  /** Sends a call of a client to a node and records it with its answer. */
  async call(node, method, route, id, body, timeoutMs = 3_000) {
    const { record } = this;
    const sentAt = record.now;
    const answer = await send({
      host: node.host,
      port: node.frontPort,
      method,
      path: `/${route}/${id}`,
      headers: {
        host: HOST_NAME,
        authorization: `Bearer ${KEY}`,
        'content-type': 'application/json',
        'x-deadline-ms': String(timeoutMs),
      },
      body,
      timeoutMs,
    });
    const { status } = answer;
    const state = answer.body?.state ?? '';
    record.write('call', { method, route, id, node: node.name, sentAt, status, state });
    return { status, state };
  }

  /** Ends all processes and stand-ins. */
  async close() {
    await Promise.all(this.nodes.map((node) => node.kill()));
    for (const executor of this.executors) executor.close();
    this.store.close();
    if (process.env.KEEP_LOGS === undefined) rmSync(this.#directory, { recursive: true });
    else process.stderr.write(`logs in ${this.#directory}\n`);
  }

  async #isServing() {
    const answers = await Promise.all(
      this.nodes.map(({ host, readyPort: port }) =>
        send({ host, port, method: 'GET', path: '/api/ready' }),
      ),
    );
    return answers.every(({ status }) => status === 200) && this.findOwner() !== undefined;
  }

  #buildSettings({ name, host, frontPort, readyPort }) {
    return [
      `node=${name}`,
      'role=node',
      'machine_class=edge',
      'serves=edge',
      `ip=${host}`,
      'zone=riga-a',
      'region=latvija',
      'zones.riga-a=latvija',
      `bind_addresses.front=${host}:${frontPort}`,
      `bind_addresses.ready=${host}:${readyPort}`,
      `internal_ports=${readyPort + 1},${readyPort + 3}`,
      'bootstrap=true',
      'limits.cpu_share=0.675',
      'limits.cores=1',
      'limits.memory_mb=350',
      'limits.file_descriptors=4100',
      'limits.link_mbps=1000.0',
      'limits.disk_mb=0',
      'discovery=platform',
      'entry=vip',
      'heartbeat_ms=1500',
      'commands=call',
      `platform.address=${this.#storeAddress}`,
      'platform.form=table',
      'platform.writes_per_s=600',
      'platform.reads_per_s=2000',
      'platform.tx_ms=5.0',
      'platform.partition_writes_s=200',
      'platform.row_bytes=65536',
      'platform.across=false',
      'platform.history_s=20',
      'bounds.contact_ms=3000',
      'bounds.ack_ms=4000',
      'bounds.drain_ms=2000',
      'bounds.grace_s=6',
      'bounds.config_apply_ms=2000',
      'bounds.revoke_ms=5000',
      'bounds.hold_max_ms=10000',
      'bounds.stop_ms=900',
      'bounds.gang_timeout_ms=3000',
      'bounds.cancel_ms=3000',
      'bounds.visible_ms=3000',
      'bounds.early_ms=250',
      'bounds.finish_s=14',
      'bounds.status_s=120',
      'bounds.far_factor=1.5',
      'bounds.checkpoint_s=2',
      'bounds.restore_ms=600',
      'bounds.notice_ms=4500',
      'bounds.move_s=1.5',
      'bounds.upkeep_s=2',
      'bounds.require_fencing=false',
      'bounds.lease_ms=3000',
      'bounds.thaw_ms=300',
      'bounds.pace_ms=100',
      'bounds.harm_ms=4000',
      ...this.#settings,
    ].join('\n');
  }
}

/** One node of the product as a process, started by the command of the deploy file. */
class NodeProcess {
  name;
  host;
  frontPort;
  #settingsPath;
  #logDescriptor;
  #child;
  #isStopped = false;
  #isKilled = false;
  /** Exits of the process that nobody asked for, as exit code or signal. */
  ownEnds = [];

  constructor(name, host, frontPort, directory) {
    this.name = name;
    this.host = host;
    this.frontPort = frontPort;
    this.#settingsPath = `${directory}/${name}.conf`;
    this.#logDescriptor = openSync(`${directory}/${name}.log`, 'a');
  }

  get readyPort() {
    return this.frontPort + 1;
  }

  get isRunning() {
    return this.#child?.exitCode === null && this.#child.signalCode === null;
  }

  writeSettings(text) {
    writeFileSync(this.#settingsPath, `${text}\n`);
  }

  /** Starts the process, and again after each of its own ends, as the platform does. */
  start() {
    const [program, ...args] = readCommand();
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, CURRANTGAP_SETTINGS: this.#settingsPath },
      stdio: ['ignore', this.#logDescriptor, this.#logDescriptor],
    });
    this.#child = child;
    child.on('exit', (code, signal) => {
      if (this.#isStopped) return;
      if (!this.#isKilled) this.ownEnds.push(signal ?? code);
      this.#isKilled = false;
      setTimeout(() => {
        if (!this.#isStopped) this.start();
      }, RESTART_MS);
    });
  }

  signal(name) {
    this.#child.kill(name);
  }

  /** Kills the process, which the platform starts again after a short delay. */
  crash() {
    this.#isKilled = true;
    this.#child.kill('SIGKILL');
  }

  /** Kills the process; it is not started again. */
  async kill() {
    this.#isStopped = true;
    if (!this.isRunning) return;
    const exited = new Promise((resolve) => this.#child.once('exit', resolve));
    this.#child.kill('SIGKILL');
    await exited;
  }
}

const RESTART_MS = 500;

/** Reads the command of the node role from the deploy file. */
function readCommand() {
  const text = readFileSync(`${ROOT}/deploy/system.toml`, 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** Finds consecutive ports that are free on all hosts. */
async function findFreePorts(hosts) {
  for (;;) {
    const first = 11_000 + Math.floor(Math.random() * 19_000);
    const ports = Array.from({ length: PORTS }, (_, index) => first + index);
    const checks = hosts.flatMap((host) => ports.map((port) => isFree(host, port)));
    if ((await Promise.all(checks)).every((free) => free)) return first;
  }
}

async function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Creates a random submission id. */
export function createId() {
  return Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join('');
}

/** Builds a submission with one step. */
export function buildSubmission({ ms, cpu = 1_000, ...step }) {
  const spec = JSON.stringify({ ms, cpu });
  return { spec, steps: [{ count: 2, cpu, mem_mb: 256, estimated_ms: ms, ...step }] };
}

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(play) {
  let code = 2;
  try {
    code = (await play(process.env.TROUBLE !== '0')) ? 1 : 0;
  } catch (error) {
    process.stderr.write(`${error.stack}\n`);
  }
  process.exit(code);
}
