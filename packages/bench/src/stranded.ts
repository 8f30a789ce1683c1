import type { TableRow } from '@currantgap/cli';
import { Caller, Fleet, MANTOJUMA, RUN_MS_HEADER, TEAM_HEADER } from '@currantgap/standins';
import { PRODUCT_COMMAND } from './command.ts';
import { wait } from './wait.ts';

const ENTRY_COUNT = 3;
const TEAM = 'selija';
const RUN_MS = 100;
const CONCURRENCY = 90;
const WARM_UP_MS = 4_000;
const MEASURE_MS = 4_000;
const MAXIMUM_RUN_MS = 1_000;

/**
 * Measures the percentage of a team's limit that its requests cannot use when all its callers use
 * one entry, in the steady state and right after another entry crashed. With a fixed split of the
 * limit among the entries, only the part of that one entry is usable.
 */
export async function measureStrandedLimit(): Promise<TableRow[]> {
  const shape = { ...MANTOJUMA, maximumRunMs: MAXIMUM_RUN_MS };
  const fleet = new Fleet({ shape, entryCount: ENTRY_COUNT, command: PRODUCT_COMMAND });
  try {
    await fleet.start();
    const limit = shape.teams.find((team) => team.name === TEAM)?.limit ?? 0;
    const load = new OneEntryLoad(fleet);
    load.start();
    await wait(WARM_UP_MS);
    const steady = await measureUnused(fleet, limit);
    await fleet.getEntry(ENTRY_COUNT - 1).kill();
    const afterCrash = await measureUnused(fleet, limit);
    await load.stop();
    const split = (1 - 1 / ENTRY_COUNT) * 100;
    return [
      {
        'limit unusable %': 'permits',
        steady: steady.toFixed(1),
        'after a crash': afterCrash.toFixed(1),
      },
      {
        'limit unusable %': 'fixed split',
        steady: split.toFixed(1),
        'after a crash': split.toFixed(1),
      },
    ];
  } finally {
    await fleet.close();
  }
}

/** Sends requests of one team to the first entry, more at once than the team's limit admits. */
class OneEntryLoad {
  readonly #fleet: Fleet;
  readonly #caller = new Caller();
  #isRunning = true;
  #workers: Promise<void>[] = [];

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  start(): void {
    this.#workers = Array.from({ length: CONCURRENCY }, async () => {
      while (this.#isRunning) {
        await this.#caller.send({
          port: this.#fleet.getEntry(0).callerPort,
          path: '/velves/work',
          key: this.#fleet.keys.get(TEAM) ?? '',
          headers: { [TEAM_HEADER]: TEAM, [RUN_MS_HEADER]: String(RUN_MS) },
        });
      }
    });
  }

  async stop(): Promise<void> {
    this.#isRunning = false;
    await Promise.all(this.#workers);
    this.#caller.close();
  }
}

/** Measures the unused percentage of a limit from the requests that start within `MEASURE_MS`. */
async function measureUnused(fleet: Fleet, limit: number): Promise<number> {
  const before = fleet.log.runs.length;
  const startedAt = performance.now();
  await wait(MEASURE_MS);
  const elapsedMs = performance.now() - startedAt;
  const used = ((fleet.log.runs.length - before) * RUN_MS) / elapsedMs;
  return Math.max(0, 100 * (1 - used / limit));
}
