import type { Change } from '@currantgap/environment';
import {
  Caller,
  createDocument,
  Fleet,
  MANTOJUMA,
  TEAM_HEADER,
  type CallerAnswer,
  type DeploymentShape,
} from '@currantgap/standins';
import { After, setDefaultTimeout, setWorldConstructor, World } from '@cucumber/cucumber';

const STEP_TIMEOUT_MS = 120_000;
setDefaultTimeout(STEP_TIMEOUT_MS);

/** How a request is sent. */
export interface SendOptions {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs?: number;
}

/** The state of one scenario: a fleet of its own and the answers seen. */
export class FleetWorld extends World {
  readonly caller = new Caller();
  answers: CallerAnswer[] = [];
  pending: Promise<CallerAnswer>[] = [];
  failure: Error | undefined;
  sequence = 0;
  takenOutAt = 0;
  /** The bundle under Node, or the binary that `CURRANTGAP_BINARY` names. */
  readonly command = listCommand();
  #isLoaded = false;
  #load: Promise<void>[] = [];
  #fleet: Fleet | undefined;

  get fleet(): Fleet {
    if (this.#fleet === undefined) throw new Error('no fleet was started');
    return this.#fleet;
  }

  /** Starts a fleet shaped like Mantojuma's deployment. */
  async startFleet(entryCount: number, changes: Partial<DeploymentShape> = {}): Promise<void> {
    const shape = { ...MANTOJUMA, ...changes };
    this.#fleet = new Fleet({ shape, entryCount, command: this.command });
    await this.#fleet.start();
  }

  /** Keeps `width` requests under way until the load ends. */
  startLoad(width: number, send: (index: number) => Promise<CallerAnswer>): void {
    this.#isLoaded = true;
    this.#load = Array.from({ length: width }, async (_, index) => {
      while (this.#isLoaded) this.answers.push(await send(index));
    });
  }

  /** Lets the requests under way end and starts no more. */
  async endLoad(): Promise<void> {
    this.#isLoaded = false;
    await Promise.all(this.#load);
  }

  /** Sends through an entry that the health check shows as serving, as the balancer does. */
  async sendToReady(team: string, service: string): Promise<CallerAnswer> {
    const ready = await Promise.all(
      this.fleet.entries.map(async (entry) =>
        entry.isRunning ? entry.getText('/readyz').catch(() => '') : '',
      ),
    );
    const candidates = [...ready.keys()].filter((index) => ready[index] === 'ok');
    const chosen = candidates[this.answers.length % Math.max(1, candidates.length)] ?? 0;
    return this.send(team, service, chosen);
  }

  /** Makes a change and keeps the reason when it is refused. */
  async takeChange(change: Change, entry = 0): Promise<Error | undefined> {
    this.failure = await this.fleet.change(change, entry).then(
      () => undefined,
      (error: unknown) => error as Error,
    );
    return this.failure;
  }

  listVms(dataCentre: string): string[] {
    return createDocument(MANTOJUMA, () => '')
      .vms.filter((vm) => vm.dataCentre === dataCentre)
      .map((vm) => vm.name);
  }

  /** Sends a request of a team to a service through an entry. */
  async send(
    team: string | undefined,
    service: string,
    entry: number,
    options: SendOptions = {},
  ): Promise<CallerAnswer> {
    const key = team === undefined ? undefined : this.fleet.keys.get(team);
    return this.caller.send({
      port: this.fleet.getEntry(entry).callerPort,
      path: `/${service}/work`,
      body: 'payload',
      ...(key === undefined ? {} : { key }),
      ...options,
      headers: { [TEAM_HEADER]: team ?? '', ...options.headers },
    });
  }

  /** Lists the ids of all requests that ran, on all targets or on those of some VMs. */
  listRuns(vms?: readonly string[]): string[] {
    return this.fleet.log.runs.filter((run) => vms?.includes(run.vm) ?? true).map((run) => run.id);
  }

  async close(): Promise<void> {
    this.#isLoaded = false;
    this.caller.close();
    await this.#fleet?.close();
  }
}

export function listCommand(): readonly string[] {
  const binary = process.env.CURRANTGAP_BINARY;
  return binary === undefined ? [process.execPath, '../../dist/currantgap.cjs'] : [binary];
}

setWorldConstructor(FleetWorld);

After(async function (this: FleetWorld) {
  await this.close();
});
