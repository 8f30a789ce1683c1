import { ChangeKind, createKey, hashKey, type Change } from '@currantgap/environment';
import { formatFault } from '@currantgap/model';
import {
  acceptedChangeSchema,
  OperatorPath,
  statusSchema,
  teamsSchema,
  type EntryStatus,
} from '@currantgap/operator';
import { mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { stringify } from 'smol-toml';
import { createDocument, type DeploymentShape } from './deployments.ts';
import { EntryProcess } from './entry-process.ts';
import { RunLog } from './run-log.ts';
import { PlatformServer } from './platform-server.ts';
import { TargetServer } from './target-server.ts';

/** Options of a stand-in fleet. */
export interface FleetOptions {
  readonly shape: DeploymentShape;
  readonly entryCount: number;
  /** Program that runs the product, followed by its arguments. */
  readonly command: readonly string[];
  /** @default 'production' */
  readonly environment?: string;
  /** Milliseconds for which a target runs a request. @default 5 */
  readonly runMs?: number;
  /** Settings of the `timing` section of every entry, in milliseconds. */
  readonly timing?: Readonly<Record<string, number>>;
}

const POLL_MS = 50;
const POLL_ATTEMPTS = 1_200;

/** A complete system on loopback: platform and targets in this process, each entry in its own. */
export class Fleet {
  readonly platform = new PlatformServer();
  readonly targets = new Map<string, TargetServer>();
  /** Runs at all targets. */
  readonly log = new RunLog();
  readonly entries: EntryProcess[] = [];
  /** Granted key of each team, by team name. */
  readonly keys = new Map<string, string>();
  readonly #options: FleetOptions;
  #documentText = '';

  constructor(options: FleetOptions) {
    this.#options = options;
  }

  /** Text of the document that `start` applied. */
  get documentText(): string {
    return this.#documentText;
  }

  /**
   * Starts the platform, the targets and the entries, applies the document and grants every team a
   * key. Resolves once every entry has applied all of this and holds permits.
   */
  async start(): Promise<void> {
    const { shape, entryCount, command, environment = 'production', runMs, timing } = this.#options;
    const platform = await this.platform.listen();
    const addresses = await this.#startTargets(shape, runMs);
    const directory = mkdtempSync(join(tmpdir(), 'currantgap-'));
    for (let index = 0; index < entryCount; index += 1) {
      const entry = new EntryProcess({
        name: `entry-${index + 1}`,
        dataCentre: shape.dataCentres[index % shape.dataCentres.length] ?? '',
        environment,
        platform,
        directory,
        command,
        ...(timing === undefined ? {} : { timing }),
      });
      this.entries.push(entry);
      await entry.start();
    }
    await Promise.all(this.entries.map(async (entry) => entry.waitUntilReady()));
    await this.waitForMembers(entryCount);
    this.#documentText = stringify(createDocument(shape, (vm) => addresses.get(vm) ?? ''));
    await this.applyDocument(this.#documentText);
    await this.waitForSequence(1);
    for (const [index, team] of shape.teams.entries()) {
      await this.grantKey(team.name, index % entryCount);
    }
    // The document is the first change; each key is one more.
    await this.waitForSequence(1 + shape.teams.length);
    await this.waitForPermits();
  }

  /** Returns the entry at an index; throws if there is none. */
  getEntry(index: number): EntryProcess {
    const entry = this.entries[index];
    if (entry === undefined) throw new Error(`the fleet has no entry with index ${index}`);
    return entry;
  }

  /** Returns the target that runs on a VM; throws if there is none. */
  getTarget(vm: string): TargetServer {
    const target = this.targets.get(vm);
    if (target === undefined) throw new Error(`no target runs on VM ${vm}`);
    return target;
  }

  /** Lists the names of the data centres. */
  listDataCentres(): readonly string[] {
    return this.#options.shape.dataCentres;
  }

  /** Applies a document through the entry at an index; rejects if refused. */
  async applyDocument(text: string, index = 0): Promise<void> {
    const client = this.getEntry(index).createClient();
    const result = await client.post(OperatorPath.Apply, { text }, acceptedChangeSchema);
    client.close();
    if (result.isErr()) throw new Error(formatFault(result.error));
  }

  /** Submits a change through the entry at an index. Returns its sequence; rejects if refused. */
  async change(change: Change, index = 0): Promise<number> {
    const client = this.getEntry(index).createClient();
    const result = await client.post(OperatorPath.Changes, { change }, acceptedChangeSchema);
    client.close();
    if (result.isErr()) throw new Error(formatFault(result.error));
    return result.value.sequence;
  }

  /** Creates a key, grants it to a team through the entry at an index and returns it. */
  async grantKey(team: string, index = 0): Promise<string> {
    const key = createKey();
    await this.change({ kind: ChangeKind.GrantKey, team, keyHash: hashKey(key) }, index);
    this.keys.set(team, key);
    return key;
  }

  /** Requests the status of the entry at an index. */
  async getStatus(index: number): Promise<EntryStatus> {
    const client = this.getEntry(index).createClient();
    const result = await client.get(OperatorPath.Status, statusSchema);
    client.close();
    if (result.isErr()) throw new Error(formatFault(result.error));
    return result.value;
  }

  /** Waits until the membership view of every responsive entry has `count` members. */
  async waitForMembers(count: number): Promise<void> {
    await this.waitUntil(async () => {
      const statuses = await this.#listStatuses();
      return statuses.every((status) => status.members.length === count);
    });
  }

  /** Waits until every responsive entry has applied the change with this sequence. */
  async waitForSequence(sequence: number): Promise<void> {
    await this.waitUntil(async () => {
      const statuses = await this.#listStatuses();
      return statuses.every((status) => status.sequence >= sequence);
    });
  }

  /** Waits until every responsive entry reports `isSettled` and holds permits of every team. */
  async waitForPermits(): Promise<void> {
    await this.waitUntil(async () => {
      const statuses = await this.#listStatuses();
      if (!statuses.every((status) => status.isSettled)) return false;
      const held = await Promise.all(
        this.#listResponsive().map(async (entry) => getMinimumHeldPermits(entry)),
      );
      return held.every((count) => count > 0);
    });
  }

  /** Polls until a condition holds; rejects after about a minute. Errors count as not met. */
  async waitUntil(isMet: () => Promise<boolean>): Promise<void> {
    for (let attempt = 0; attempt < POLL_ATTEMPTS; attempt += 1) {
      if (await isMet().catch(() => false)) return;
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
    throw new Error('the condition was not met before the timeout');
  }

  /** Kills the entries and closes the stand-ins. */
  async close(): Promise<void> {
    await Promise.all(
      this.entries.map(async (entry) => {
        entry.resume();
        await entry.kill();
      }),
    );
    for (const target of this.targets.values()) target.close();
    this.platform.close();
  }

  #listResponsive(): EntryProcess[] {
    return this.entries.filter((entry) => entry.isResponsive);
  }

  async #listStatuses(): Promise<EntryStatus[]> {
    return Promise.all(
      this.entries.flatMap((entry, index) => (entry.isResponsive ? [this.getStatus(index)] : [])),
    );
  }

  async #startTargets(
    shape: DeploymentShape,
    runMs: number | undefined,
  ): Promise<Map<string, string>> {
    const addresses = new Map<string, string>();
    for (const vm of createDocument(shape, () => '').vms) {
      const target = new TargetServer({
        vm: vm.name,
        log: this.log,
        ...(runMs === undefined ? {} : { runMs }),
      });
      this.targets.set(vm.name, target);
      addresses.set(vm.name, await target.listen());
    }
    return addresses;
  }
}

async function getMinimumHeldPermits(entry: EntryProcess): Promise<number> {
  const client = entry.createClient();
  const result = await client.get(OperatorPath.Teams, teamsSchema);
  client.close();
  return result.isOk() ? Math.min(...result.value.teams.map((team) => team.held)) : 0;
}
