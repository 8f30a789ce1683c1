import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { openSync, writeFileSync } from 'node:fs';

const ROOT = new URL('../..', import.meta.url).pathname;
/** The command of the deploy file. */
const COMMAND = [
  'node',
  '--max-old-space-size=160',
  '--max-semi-space-size=16',
  'target/currantgap.cjs',
  'node',
];
const READY_PORT = 1;
const CONTROL_PORT = 2;
const INTERNAL_PORT = 3;

/** One process of the system, on a loopback address of its own. */
export class NodeProcess {
  name;
  host;
  /** Port for clients. */
  port;
  #directory;
  #child;

  /**
   * @param {{ name: string, host: string, port: number, zone: string, directory: string,
   *   settings: Record<string, string | number | boolean> }} options `port` is the first of six.
   */
  constructor({ name, host, port, zone, directory, settings }) {
    Object.assign(this, { name, host, port });
    this.#directory = directory;
    const lines = Object.entries({
      node: name,
      role: 'node',
      machine_class: 'edge',
      serves: 'edge',
      ip: host,
      zone,
      'bind_addresses.front': `${host}:${port}`,
      'bind_addresses.ready': `${host}:${port + READY_PORT}`,
      'bind_addresses.control': `${host}:${port + CONTROL_PORT}`,
      internal_ports: `${port + INTERNAL_PORT},${port + INTERNAL_PORT + 2}`,
      ...settings,
    });
    const text = lines.map(([key, value]) => `${key}=${value}\n`).join('');
    writeFileSync(this.#settingsPath, text);
  }

  get #settingsPath() {
    return `${this.#directory}/${this.name}.conf`;
  }

  get readyPort() {
    return this.port + READY_PORT;
  }

  start() {
    const log = openSync(`${this.#directory}/${this.name}.log`, 'a');
    const [program, ...args] = COMMAND;
    const env = { ...process.env, CURRANTGAP_SETTINGS: this.#settingsPath };
    const child = spawn(program, args, { cwd: ROOT, env, stdio: ['ignore', log, log] });
    this.#child = child;
    // Ends the process also where the case ends by an error.
    process.once('exit', () => child.kill('SIGKILL'));
  }

  /** @param {NodeJS.Signals} name */
  signal(name) {
    this.#child?.kill(name);
  }

  /** Tells the process to stop, kills it after `graceMs` milliseconds, and waits until it has ended. */
  async stop(graceMs) {
    const timer = setTimeout(() => this.signal('SIGKILL'), graceMs);
    this.signal('SIGTERM');
    await once(this.#child, 'exit');
    clearTimeout(timer);
  }

  /** Kills the process and waits until it has ended. */
  async kill() {
    const child = this.#child;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
    child.kill('SIGKILL');
    await once(child, 'exit');
  }
}
