import type { TableRow } from '@currantgap/cli';
import { Caller, Fleet, MANTOJUMA, RUN_MS_HEADER, TEAM_HEADER } from '@currantgap/standins';
import { PRODUCT_COMMAND } from './command.ts';
import { wait } from './wait.ts';

const ENTRY_COUNT = 3;
const TEAM = 'selija';
const RUN_MS = 100;
const WIDTH = 90;
const WARM_UP_MS = 4_000;
const MEASURE_MS = 4_000;
const MAXIMUM_RUN_MS = 1_000;

/**
 * Measures the part of a team's limit that its work cannot use when all its callers land on one
 * entry, steady and right after another entry crashed. A fixed split strands all but one part.
 */
export async function measureStranded(): Promise<TableRow[]> {
  const shape = { ...MANTOJUMA, maximumRunMs: MAXIMUM_RUN_MS };
  const fleet = new Fleet({ shape, entryCount: ENTRY_COUNT, command: PRODUCT_COMMAND });
  try {
    await fleet.start();
    const limit = shape.teams.find((team) => team.name === TEAM)?.limit ?? 0;
    const load = new OneEntryLoad(fleet);
    load.start();
    await wait(WARM_UP_MS);
    const steady = await measurePart(fleet, limit);
    await fleet.getEntry(ENTRY_COUNT - 1).kill();
    const afterCrash = await measurePart(fleet, limit);
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

/** Keeps requests of one team waiting at the first entry. */
class OneEntryLoad {
  readonly #fleet: Fleet;
  readonly #caller = new Caller();
  #isRunning = true;
  #lanes: Promise<void>[] = [];

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
  }

  start(): void {
    this.#lanes = Array.from({ length: WIDTH }, async () => {
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
    await Promise.all(this.#lanes);
    this.#caller.close();
  }
}

/** Measures the unused percentage of a limit from the work that started in a stretch of time. */
async function measurePart(fleet: Fleet, limit: number): Promise<number> {
  const before = fleet.log.runs.length;
  const startedAt = performance.now();
  await wait(MEASURE_MS);
  const elapsedMs = performance.now() - startedAt;
  const used = ((fleet.log.runs.length - before) * RUN_MS) / elapsedMs;
  return Math.max(0, 100 * (1 - used / limit));
}
