import {
  computeAllocation,
  DemandTracker,
  planLoans,
  ResourcePermits,
  type Demand,
  type HolderReport,
} from '@currantgap/allowance';
import { formatTable, type TableRow } from '@currantgap/cli';
import { Router, type Candidate } from '@currantgap/routing';
import { FairQueue, type QueuedItem } from '@currantgap/sharing';

const ENTRY_COUNT = 6;
const ROUNDS = 20_000;
const MICROSECONDS_PER_MS = 1_000;
const SLOTS = 8;

/** Deployment sizes at which each decision is timed: current, intermediate and target size. */
const SIZES = [
  { pools: 5, teams: 6, workers: 40 },
  { pools: 12, teams: 40, workers: 160 },
  { pools: 33, teams: 180, workers: 640 },
] as const;

type Size = (typeof SIZES)[number];

/** Prints the time per decision, in microseconds, at each size. */
export async function runDecisionBench(): Promise<void> {
  const rows: TableRow[] = SIZES.map((size) => ({
    ...size,
    'choose team': timeFairQueue(size),
    'choose target': timeRouter(size),
    'permit take+release': timePermits(),
    'plan loans of a team': timeLoans(),
    'divide a service': timeAllocation(size),
  }));
  process.stdout.write('microseconds per decision\n');
  process.stdout.write(formatTable(rows));
  return Promise.resolve();
}

/** Measures the mean time of a round in microseconds, after a tenth of the rounds as warm-up. */
function time(rounds: number, run: (round: number) => void): string {
  for (let round = 0; round < rounds / 10; round += 1) run(round);
  const startedAt = performance.now();
  for (let round = 0; round < rounds; round += 1) run(round);
  return (((performance.now() - startedAt) * MICROSECONDS_PER_MS) / rounds).toFixed(2);
}

function timeFairQueue({ teams }: Size): string {
  const queue = new FairQueue<QueuedItem>();
  for (let team = 0; team < teams; team += 1) {
    for (let item = 0; item < 4; item += 1) queue.add({ team: `team-${team}`, deadline: Infinity });
  }
  return time(ROUNDS, () => {
    const item = queue.take(() => true);
    if (item === undefined) return;
    queue.recordCost(item.team, 20);
    queue.add(item);
  });
}

function timeRouter({ pools, workers }: Size): string {
  const router = new Router('riga');
  const count = Math.ceil(workers / pools);
  const candidates: Candidate[] = Array.from({ length: count }, (_, index) => ({
    vm: `vm-${index}`,
    dataCentre: index % 4 === 0 ? 'riga' : 'liepaja',
    held: 2,
    inFlight: index % 2,
  }));
  return time(ROUNDS, (round) => {
    const chosen = router.choose(candidates, round);
    if (chosen !== undefined) router.recordOutcome(chosen.vm, true, round, count);
  });
}

function timePermits(): string {
  const permits = new ResourcePermits('team:a', 'self');
  permits.setLimit(100);
  for (let index = 0; index < 100; index += 1) {
    permits.receive({ resource: 'team:a', index, version: 1 });
  }
  return time(ROUNDS, () => {
    permits.take();
    permits.release();
  });
}

function timeLoans(): string {
  const reports: HolderReport[] = Array.from({ length: ENTRY_COUNT }, (_, index) => ({
    holder: `entry-${index}`,
    held: 10 + index,
    need: 20 - index,
  }));
  return time(ROUNDS, () => {
    planLoans(reports);
  });
}

function timeAllocation({ teams }: Size): string {
  const members = Array.from({ length: ENTRY_COUNT }, (_, index) => `entry-${index}`);
  const demands = new DemandTracker(members[0] ?? '');
  const shares = new Map(
    Array.from({ length: teams }, (_, team) => [`team-${team}`, 1 + (team % 4)]),
  );
  for (const member of members) {
    const own: Demand[] = [...shares.keys()].map((team, index) => ({
      service: 'velves',
      team,
      running: index % 3,
      waiting: 2,
    }));
    demands.apply(member, own);
  }
  const input = { service: 'velves', slots: 20 * SLOTS, members, shares, demands };
  return time(ROUNDS / 20, () => {
    computeAllocation(input);
  });
}
