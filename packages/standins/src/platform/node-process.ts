import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { appendFileSync, openSync, writeFileSync } from 'node:fs';

/** Options of a node under test. */
export interface NodeProcessOptions {
  readonly name: string;
  /** Loopback address that no other node uses. */
  readonly host: string;
  /** First of five consecutive ports; the same on all hosts. */
  readonly firstPort: number;
  readonly storeAddress: string;
  /** Directory for settings and log files. */
  readonly directory: string;
  /** Program that runs the product, followed by its arguments. */
  readonly command: readonly string[];
}

/** One node of the product in a separate process. */
export class NodeProcess {
  readonly options: NodeProcessOptions;
  readonly #logDescriptor: number;
  readonly #settingsFile: string;
  #child: ChildProcess | undefined;
  /** Monotonic time in milliseconds at which the process was last started. */
  startedAt = 0;

  constructor(options: NodeProcessOptions) {
    this.options = options;
    this.#logDescriptor = openSync(`${options.directory}/${options.name}.log`, 'a');
    this.#settingsFile = `${options.directory}/${options.name}.conf`;
    writeFileSync(this.#settingsFile, formatSettings(options));
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

  /** Starts the process unless it already runs. */
  start(): void {
    if (this.isRunning) return;
    const [program, ...args] = this.options.command;
    if (program === undefined)
      throw new Error('the command is empty; its first element must be the program');
    this.startedAt = performance.now();
    this.#child = spawn(program, [...args, 'node'], {
      env: { ...process.env, CURRANTGAP_SETTINGS: this.#settingsFile },
      stdio: ['ignore', this.#logDescriptor, this.#logDescriptor],
    });
  }

  /** Changes the text of the settings file. */
  changeSettings(): void {
    appendFileSync(this.#settingsFile, '\n');
  }

  /** Sends a signal to the process. */
  sendSignal(signal: NodeJS.Signals): void {
    this.#child?.kill(signal);
  }

  /** Waits until the process has exited; returns at once if it does not run. */
  async waitForExit(): Promise<void> {
    if (this.#child !== undefined && this.isRunning) await once(this.#child, 'exit');
  }

  /** Stops the process with SIGTERM, and with SIGKILL if it still runs after the grace period. */
  async stop(graceMs: number): Promise<void> {
    const child = this.#child;
    if (child === undefined || !this.isRunning) return;
    child.kill('SIGCONT');
    child.kill('SIGTERM');
    const timer = setTimeout(() => child.kill('SIGKILL'), graceMs);
    await once(child, 'exit');
    clearTimeout(timer);
  }

  /** Kills the process with SIGKILL and waits for its exit. */
  async kill(): Promise<void> {
    this.sendSignal('SIGKILL');
    await this.waitForExit();
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
