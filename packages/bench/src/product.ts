import { ChangeKind } from '@currantgap/environment';
import { Fleet, type DeploymentShape, type RunLog } from '@currantgap/standins';
import { MeasuredSystem } from './baseline.ts';
import { PRODUCT_COMMAND } from './command.ts';

/** The product, with each entry in a separate process. */
export class ProductSystem extends MeasuredSystem {
  readonly name = 'currantgap';
  readonly #fleet: Fleet;

  constructor(shape: DeploymentShape, entryCount: number, runMs: number) {
    super();
    this.#fleet = new Fleet({ shape, entryCount, command: PRODUCT_COMMAND, runMs });
  }

  get log(): RunLog {
    return this.#fleet.log;
  }

  async start(): Promise<void> {
    await this.#fleet.start();
  }

  listPorts(): readonly number[] {
    return this.#fleet.entries.map((entry) => entry.callerPort);
  }

  getKey(team: string): string {
    return this.#fleet.keys.get(team) ?? '';
  }

  async setOut(dataCentre: string, isOut: boolean): Promise<void> {
    const kind = isOut ? ChangeKind.TakeOutDataCentre : ChangeKind.BringBackDataCentre;
    await this.#fleet.change({ kind, dataCentre });
  }

  async close(): Promise<void> {
    await this.#fleet.close();
  }
}
