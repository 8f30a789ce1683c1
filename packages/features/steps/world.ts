import type { Change } from '@currantgap/environment';
import {
  Caller,
  createDocument,
  Fleet,
  MANTOJUMA,
  TEAM_HEADER,
  type CallerResponse,
  type DeploymentShape,
} from '@currantgap/standins';
import { After, setDefaultTimeout, setWorldConstructor, World } from '@cucumber/cucumber';

const STEP_TIMEOUT_MS = 120_000;
setDefaultTimeout(STEP_TIMEOUT_MS);

/** Options of a request that a step sends. */
export interface SendOptions {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs?: number;
}

/** State of one scenario: its fleet and the responses that the callers received. */
export class FleetWorld extends World {
  readonly caller = new Caller();
  responses: CallerResponse[] = [];
  /** Requests in flight. */
  pending: Promise<CallerResponse>[] = [];
  /** Error of the last change; undefined if it was accepted. */
  failure: Error | undefined;
  /** Sequence that the change under test must get. */
  sequence = 0;
  /** Monotonic time in milliseconds from which nothing may start in the data centre taken out. */
  takenOutAt = 0;
  /** The bundle run by Node.js, or the binary at the path in `CURRANTGAP_BINARY`. */
  readonly command = getCommand();
  #isLoadActive = false;
  #loadLoops: Promise<void>[] = [];
  #fleet: Fleet | undefined;

  get fleet(): Fleet {
    if (this.#fleet === undefined) throw new Error('the scenario has no fleet');
    return this.#fleet;
  }

  /** Starts a fleet with the shape of the Mantojuma example deployment. */
  async startFleet(entryCount: number, changes: Partial<DeploymentShape> = {}): Promise<void> {
    const shape = { ...MANTOJUMA, ...changes };
    this.#fleet = new Fleet({ shape, entryCount, command: this.command });
    await this.#fleet.start();
  }

  /** Keeps `concurrency` requests in flight until the load ends. */
  startLoad(concurrency: number, send: (index: number) => Promise<CallerResponse>): void {
    this.#isLoadActive = true;
    this.#loadLoops = Array.from({ length: concurrency }, async (_, index) => {
      while (this.#isLoadActive) this.responses.push(await send(index));
    });
  }

  /** Sends no further requests and waits for those in flight. */
  async endLoad(): Promise<void> {
    this.#isLoadActive = false;
    await Promise.all(this.#loadLoops);
  }

  /** Sends a request through an entry that reports itself ready, as a load balancer does. */
  async sendToReady(team: string, service: string): Promise<CallerResponse> {
    const ready = await Promise.all(
      this.fleet.entries.map(async (entry) =>
        entry.isRunning ? entry.getText('/readyz').catch(() => '') : '',
      ),
    );
    const candidates = [...ready.keys()].filter((index) => ready[index] === 'ok');
    const chosen = candidates[this.responses.length % Math.max(1, candidates.length)] ?? 0;
    return this.send(team, service, chosen);
  }

  /** Submits a change; stores and returns the error if it is refused. */
  async tryChange(change: Change, entry = 0): Promise<Error | undefined> {
    this.failure = await this.fleet.change(change, entry).then(
      () => undefined,
      (error: unknown) => error as Error,
    );
    return this.failure;
  }

  /** Lists the names of the VMs in a data centre. */
  listVms(dataCentre: string): string[] {
    return createDocument(MANTOJUMA, () => '')
      .vms.filter((vm) => vm.dataCentre === dataCentre)
      .map((vm) => vm.name);
  }

  /** Sends a request of a team to a service through the entry at an index. */
  async send(
    team: string | undefined,
    service: string,
    entry: number,
    options: SendOptions = {},
  ): Promise<CallerResponse> {
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

  /** Lists the ids of the requests that ran, on all targets or on those of the given VMs. */
  listRuns(vms?: readonly string[]): string[] {
    return this.fleet.log.runs.filter((run) => vms?.includes(run.vm) ?? true).map((run) => run.id);
  }

  /** Stops the load and closes the fleet. */
  async close(): Promise<void> {
    this.#isLoadActive = false;
    this.caller.close();
    await this.#fleet?.close();
  }
}

/** Returns the program that runs the product, followed by its arguments. */
export function getCommand(): readonly string[] {
  const binary = process.env.CURRANTGAP_BINARY;
  return binary === undefined ? [process.execPath, '../../dist/currantgap.cjs'] : [binary];
}

setWorldConstructor(FleetWorld);

After(async function (this: FleetWorld) {
  await this.close();
});
