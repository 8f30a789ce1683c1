import { randomInt } from 'node:crypto';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { openSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { stringify } from 'smol-toml';
import { OperatorClient } from '@currantgap/operator';

/** Key that the entries of stand-in fleets use among themselves. */
export const PEER_KEY = 'stand-in peer key';
/** Operator key of stand-in fleets. */
export const OPERATOR_KEY = 'stand-in operator key';

/** Options of an entry process. */
export interface EntryProcessOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly environment: string;
  /** Address of the platform stand-in. */
  readonly platform: string;
  /** Directory for settings and log files. */
  readonly directory: string;
  /** Program that runs the product, followed by its arguments. */
  readonly command: readonly string[];
  /** Settings of the `timing` section, in milliseconds. */
  readonly timing?: Readonly<Record<string, number>>;
  /** @default PEER_KEY */
  readonly peerKey?: string;
}

const HOST = '127.0.0.1';
const READY_POLL_MS = 50;
const READY_ATTEMPTS = 600;
const HTTP_OK = 200;
const FIRST_PORT = 10_000;
const LAST_PORT = 32_000;

/** One entry in a separate process. Its addresses stay the same across restarts. */
export class EntryProcess {
  readonly name: string;
  /** Log file to which every process of this entry appends. */
  readonly logFile: string;
  readonly #options: EntryProcessOptions;
  /** File descriptor of the log file. */
  readonly #logDescriptor: number;
  #ports: readonly number[] = [];
  #child: ChildProcess | undefined;
  #isPaused = false;

  constructor(options: EntryProcessOptions) {
    this.name = options.name;
    this.#options = options;
    this.logFile = `${options.directory}/${options.name}.log`;
    this.#logDescriptor = openSync(this.logFile, 'a');
  }

  /** Port for callers; 0 before the first start. */
  get callerPort(): number {
    return this.#ports[0] ?? 0;
  }

  get operatorUrl(): string {
    return `http://${HOST}:${this.#ports[1] ?? 0}`;
  }

  get peerAddress(): string {
    return `${HOST}:${this.#ports[2] ?? 0}`;
  }

  get pid(): number | undefined {
    return this.#child?.pid;
  }

  get isRunning(): boolean {
    return this.#child?.exitCode === null && this.#child.signalCode === null;
  }

  /** Whether the process runs and is not paused. */
  get isResponsive(): boolean {
    return this.isRunning && !this.#isPaused;
  }

  /** Starts the process; a restart reuses the ports of the previous process. */
  async start(): Promise<void> {
    if (this.#ports.length === 0) {
      this.#ports = [await findPort(), await findPort(), await findPort()];
    }
    const file = `${this.#options.directory}/${this.name}.toml`;
    writeFileSync(file, this.#formatSettings());
    const [program = '', ...args] = this.#options.command;
    this.#child = spawn(program, [...args, 'entry', '--settings', file], {
      stdio: ['ignore', this.#logDescriptor, this.#logDescriptor],
      env: { ...process.env, ROARR_LOG: 'true' },
    });
  }

  /** Waits until the entry reports that it is ready; rejects after about 30 s. */
  async waitUntilReady(): Promise<void> {
    for (let attempt = 0; attempt < READY_ATTEMPTS; attempt += 1) {
      if ((await this.#getStatus('/readyz')) === HTTP_OK) return;
      await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
    }
    throw new Error(`entry ${this.name} did not become ready; see its log file`);
  }

  /** Suspends the process with SIGSTOP. */
  pause(): void {
    this.#isPaused = true;
    this.#child?.kill('SIGSTOP');
  }

  /** Resumes a paused process. */
  resume(): void {
    this.#isPaused = false;
    this.#child?.kill('SIGCONT');
  }

  /**
   * Stops the process gracefully with SIGTERM and waits for its exit. Returns its exit code, or null
   * if a signal ended it or it never ran.
   */
  async stop(): Promise<number | null> {
    return this.#endProcess('SIGTERM');
  }

  /** Kills the process with SIGKILL and waits for its exit. */
  async kill(): Promise<void> {
    await this.#endProcess('SIGKILL');
  }

  /** Creates a client for the operator interface. */
  createClient(): OperatorClient {
    return new OperatorClient({ url: this.operatorUrl, key: OPERATOR_KEY });
  }

  /** Requests a path of the operator interface and returns the response body. */
  async getText(path: string): Promise<string> {
    return new Promise((resolve, reject) => {
      const outgoing = request(this.operatorUrl + path, (incoming) => {
        let text = '';
        incoming.on('data', (chunk: Buffer) => (text += chunk.toString('utf8')));
        incoming.on('end', () => {
          resolve(text);
        });
      });
      outgoing.on('error', reject);
      outgoing.end();
    });
  }

  async #endProcess(signal: NodeJS.Signals): Promise<number | null> {
    const child = this.#child;
    if (child === undefined || !this.isRunning) return child?.exitCode ?? null;
    const exited = once(child, 'exit');
    child.kill(signal);
    await exited;
    return child.exitCode;
  }

  async #getStatus(path: string): Promise<number> {
    return new Promise((resolve) => {
      const outgoing = request(this.operatorUrl + path, (incoming) => {
        incoming.resume();
        resolve(incoming.statusCode ?? 0);
      });
      outgoing.on('error', () => {
        resolve(0);
      });
      outgoing.end();
    });
  }

  #formatSettings(): string {
    const { name, dataCentre, environment, platform, timing, peerKey } = this.#options;
    const [caller = 0, operator = 0, peer = 0] = this.#ports;
    return stringify({
      entry: { name, dataCentre, environment },
      listen: {
        caller: `${HOST}:${caller}`,
        operator: `${HOST}:${operator}`,
        peer: `${HOST}:${peer}`,
      },
      platform: {
        table: `http://${platform}`,
        objects: `http://${platform}`,
        vms: `http://${platform}`,
      },
      keys: { peer: peerKey ?? PEER_KEY, operator: OPERATOR_KEY },
      timing: { balancerNoticeMs: 200, ...timing },
    });
  }
}

/** Finds a free port below the ephemeral range, from which outgoing connections get theirs. */
async function findPort(): Promise<number> {
  for (;;) {
    const port = randomInt(FIRST_PORT, LAST_PORT);
    if (await canListen(port)) return port;
  }
}

async function canListen(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, HOST, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
