import { Caller, Fleet, MANTOJUMA, type CallerAnswer } from '@currantgap/standins';
import { After, setDefaultTimeout, setWorldConstructor, World } from '@cucumber/cucumber';

const STEP_TIMEOUT_MS = 120_000;
setDefaultTimeout(STEP_TIMEOUT_MS);

/** The state of one scenario: a fleet of its own and the answers seen. */
export class FleetWorld extends World {
  readonly caller = new Caller();
  answers: CallerAnswer[] = [];
  pending: Promise<CallerAnswer>[] = [];
  #fleet: Fleet | undefined;

  get fleet(): Fleet {
    if (this.#fleet === undefined) throw new Error('no fleet was started');
    return this.#fleet;
  }

  async startFleet(entryCount: number, timing: Record<string, number> = {}): Promise<void> {
    this.#fleet = new Fleet({
      shape: MANTOJUMA,
      entryCount,
      command: [process.execPath, '../../dist/currantgap.cjs'],
      timing,
    });
    await this.#fleet.start();
  }

  /** Sends a request of a team to a service through an entry. */
  async send(
    team: string | undefined,
    service: string,
    entry: number,
    options: { method?: string; headers?: Record<string, string>; timeoutMs?: number } = {},
  ): Promise<CallerAnswer> {
    const key = team === undefined ? undefined : this.fleet.keys.get(team);
    return this.caller.send({
      port: this.fleet.getEntry(entry).callerPort,
      path: `/${service}/work`,
      body: 'payload',
      ...(key === undefined ? {} : { key }),
      ...options,
    });
  }

  /** Lists the ids of all requests that ran, on all targets or on those of some VMs. */
  listRuns(vms?: readonly string[]): string[] {
    const targets = [...this.fleet.targets].filter(([vm]) => vms?.includes(vm) ?? true);
    return targets.flatMap(([, target]) => target.runLog);
  }

  async close(): Promise<void> {
    this.caller.close();
    await this.#fleet?.close();
  }
}

setWorldConstructor(FleetWorld);

After(async function (this: FleetWorld) {
  await this.close();
});
