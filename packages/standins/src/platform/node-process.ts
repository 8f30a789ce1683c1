import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { openSync, writeFileSync } from 'node:fs';

/** Options of a node under test. */
export interface NodeProcessOptions {
  readonly name: string;
  /** An address of the loopback range of its own. */
  readonly host: string;
  /** First of its five ports; the same on all hosts. */
  readonly firstPort: number;
  readonly storeAddress: string;
  readonly directory: string;
  /** Command that runs the product, its first word the program. */
  readonly command: readonly string[];
}

/** A node of the product as a process of its own. */
export class NodeProcess {
  readonly options: NodeProcessOptions;
  readonly #log: number;
  readonly #settings: string;
  #child: ChildProcess | undefined;

  constructor(options: NodeProcessOptions) {
    this.options = options;
    this.#log = openSync(`${options.directory}/${options.name}.log`, 'a');
    this.#settings = `${options.directory}/${options.name}.conf`;
    writeFileSync(this.#settings, formatSettings(options));
  }

  get callerPort(): number {
    return this.options.firstPort;
  }

  get readinessPort(): number {
    return this.options.firstPort + 1;
  }

  get isRunning(): boolean {
    return this.#child?.exitCode === null && this.#child.signalCode === null;
  }

  /** Starts the process, unless it runs. */
  start(): void {
    if (this.isRunning) return;
    const [program, ...words] = this.options.command;
    if (program === undefined) throw new Error('the command has no program');
    this.#child = spawn(program, [...words, 'node'], {
      env: { ...process.env, CURRANTGAP_SETTINGS: this.#settings },
      stdio: ['ignore', this.#log, this.#log],
    });
  }

  /** Sends a signal to this process, which this object started. */
  send(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Waits until the process has ended. */
  async waitForEnd(): Promise<void> {
    if (this.#child !== undefined && this.isRunning) await once(this.#child, 'exit');
  }

  /** Kills the process and waits for its end. */
  async kill(): Promise<void> {
    this.send('SIGKILL');
    await this.waitForEnd();
  }
}

function formatSettings({ name, host, firstPort, storeAddress }: NodeProcessOptions): string {
  return `${[
    `node=${name}`,
    'role=node',
    `ip=${host}`,
    'zone=riga-a',
    'region=latvija',
    'zones.riga-a=latvija',
    `bind_addresses.front=${host}:${firstPort}`,
    `bind_addresses.ready=${host}:${firstPort + 1}`,
    `internal_ports=${firstPort + 2},${firstPort + 4}`,
    'heartbeat_ms=300',
    `platform.address=${storeAddress}`,
    'bounds.hold_max_ms=10000',
    'bounds.stop_ms=900',
    'bounds.grace_s=6',
    'bounds.lease_ms=3000',
    'bounds.status_s=120',
    'bounds.far_factor=1.5',
    'bounds.move_s=1.5',
    'bounds.upkeep_s=2',
    'bounds.harm_ms=4000',
    'bounds.notice_ms=4500',
    'bounds.checkpoint_s=2',
    'bounds.restore_ms=600',
  ].join('\n')}\n`;
}
