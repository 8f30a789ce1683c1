import { StoreFailure, type StandinDeployment } from '@currantgap/standins';
import { setTimeout as sleep } from 'node:timers/promises';

/** Milliseconds after its acknowledgement by which a configuration is applied. */
const CONFIGURATION_APPLY_MS = 2_000;
/** Number of configurations that have the route and the key that the first of them adds. */
const CONFIGURED_CHANGES = 3;
const POLL_MS = 100;

/** The changes of the configuration; each adds a route and a key that are named by its index. */
export class ConfigurationChanges {
  readonly #deployment: StandinDeployment;
  readonly #changes: { acknowledgedAt: number }[] = [];

  constructor(deployment: StandinDeployment) {
    this.#deployment = deployment;
  }

  /** Number of changes so far. */
  get count(): number {
    return this.#changes.length;
  }

  /** Adds a route and a key, and removes those of an earlier change. */
  async add(): Promise<void> {
    const { store } = this.#deployment.storeServer;
    while (store.failure !== StoreFailure.None) await sleep(POLL_MS);
    const change = { acknowledgedAt: Infinity };
    this.#changes.push(change);
    const names = [...this.#changes.keys()].map(formatChangeName);
    await this.#deployment.configure(names.slice(-CONFIGURED_CHANGES));
    change.acknowledgedAt = performance.now();
  }

  /**
   * Whether all nodes know the route and the key of a change at a monotonic time in milliseconds, and
   * no later change has removed them.
   */
  isConfigured(change: number, at: number): boolean {
    const { acknowledgedAt = Infinity } = this.#changes[change] ?? {};
    const isRemoved = this.#changes.length > change + CONFIGURED_CHANGES - 1;
    return acknowledgedAt + CONFIGURATION_APPLY_MS < at && !isRemoved;
  }
}

/** Formats the name of the route and the key that a change adds. */
export function formatChangeName(change: number): string {
  return `added${change}`;
}
