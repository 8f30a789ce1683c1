import { createDocument, RunLog, TargetServer, type DeploymentShape } from '@currantgap/standins';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { request } from 'node:http';
import { fileURLToPath } from 'node:url';

/** A target of the baseline. */
export interface BaselineTarget {
  /** Host and port. */
  readonly address: string;
  readonly dataCentre: string;
}

/** Options of a baseline entry, passed as JSON to its process. */
export interface BaselineEntryOptions {
  /** Position of the entry, from 0. */
  readonly index: number;
  readonly entryCount: number;
  /** Slots of each target. */
  readonly slots: number;
  readonly targets: readonly BaselineTarget[];
  /** Maximum concurrent requests of each team. */
  readonly limits: Readonly<Record<string, number>>;
}

const SLOTS = 8;

/** A system to measure. */
export abstract class MeasuredSystem {
  /** Name in the tables. */
  abstract readonly name: string;
  /** Runs at the targets of the system. */
  abstract readonly log: RunLog;
  /** Lists the caller ports of the entries. */
  abstract listPorts(): readonly number[];
  /** Gets the access key of a team; empty if the system needs none. */
  abstract getKey(team: string): string;
  /** Takes a data centre out of service or brings it back. */
  abstract setOut(dataCentre: string, isOut: boolean): Promise<void>;
  /** Stops the entries and the targets. */
  abstract close(): Promise<void>;
}

/** The baseline: entries that share no state, each in a separate process. */
export class BaselineSystem extends MeasuredSystem {
  readonly name = 'baseline';
  readonly log = new RunLog();
  readonly #targets: TargetServer[] = [];
  readonly #children: ChildProcess[] = [];
  readonly #ports: number[] = [];

  /** Starts the targets of one service and the entries; a request runs `runMs` at a target. */
  async start(
    shape: DeploymentShape,
    service: string,
    entryCount: number,
    runMs: number,
  ): Promise<void> {
    const targets: BaselineTarget[] = [];
    for (const vm of createDocument(shape, () => '').vms.filter(
      (candidate) => candidate.pool === service,
    )) {
      const target = new TargetServer({ vm: vm.name, log: this.log, runMs });
      this.#targets.push(target);
      targets.push({ address: await target.listen(), dataCentre: vm.dataCentre });
    }
    const limits = Object.fromEntries(shape.teams.map((team) => [team.name, team.limit]));
    for (let index = 0; index < entryCount; index += 1) {
      await this.#startEntry({ index, entryCount, slots: SLOTS, targets, limits });
    }
  }

  listPorts(): readonly number[] {
    return this.#ports;
  }

  getKey(): string {
    return '';
  }

  async setOut(dataCentre: string, isOut: boolean): Promise<void> {
    const path = `/admin?dataCentre=${dataCentre}&out=${String(isOut)}`;
    await Promise.all(
      this.#ports.map(async (port) => {
        const outgoing = request({ host: '127.0.0.1', port, path });
        outgoing.end();
        await once(outgoing, 'response');
      }),
    );
  }

  async close(): Promise<void> {
    for (const child of this.#children) child.kill();
    for (const target of this.#targets) target.close();
    return Promise.resolve();
  }

  async #startEntry(options: BaselineEntryOptions): Promise<void> {
    const script = fileURLToPath(new URL('./baseline-entry.ts', import.meta.url));
    const child = spawn(process.execPath, ['--import', 'tsx', script, JSON.stringify(options)], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.#children.push(child);
    const [line] = (await once(child.stdout, 'data')) as [Buffer];
    this.#ports.push(Number(line.toString()));
  }
}
