import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Resources } from '@currantgap/model';
import {
  computeDominantShare,
  computeTeamShares,
  ShareOrder,
  UrgencyOrder,
  type PlacementOrder,
  type ShareCandidate,
} from '@currantgap/sharing';

const NOTHING = createAmount(0);
const POOL = createAmount(100);
const FAST: Resources = { cpuMillis: 1_000, memoryMb: 10, gpus: 0 };

/** An amount of as many cores as GB. */
function createAmount(cores: number): Resources {
  return { cpuMillis: cores * 1_000, memoryMb: cores * 1_024, gpus: 0 };
}

function createCandidate(
  team: string,
  cores: number,
  count: number,
  changes: Partial<ShareCandidate> = {},
): ShareCandidate {
  return {
    team,
    footprint: createAmount(cores),
    waiting: Array.from({ length: count }),
    isGang: false,
    isPersistent: false,
    priority: 0,
    timeToObjectiveMs: 2_000,
    timeToLateLimitMs: 6_000,
    remainingMs: 1_000,
    isWithinWeight: true,
    hasStarted: false,
    acceptedAt: 0,
    ...changes,
  };
}

/** Places what fits into `free` cores; returns the cores that each team got, and who got them. */
function placeAll<T extends ShareCandidate>(
  order: PlacementOrder<T>,
  free: number,
): { cores: Map<string, number>; placed: T[] } {
  const cores = new Map<string, number>();
  const placed: T[] = [];
  let left = free;
  for (let turn = order.take(); turn !== undefined; turn = order.take()) {
    const { candidate, from, to } = turn;
    const size = candidate.footprint.cpuMillis / 1_000;
    const count = Math.min(to - from, Math.floor(left / size));
    left -= count * size;
    cores.set(candidate.team, (cores.get(candidate.team) ?? 0) + count * size);
    for (let index = 0; index < count; index += 1) placed.push(candidate);
    order.record(count, count < to - from);
  }
  return { cores, placed };
}

function createOrder<T extends ShareCandidate>(
  candidates: readonly T[],
  weights: Record<string, number> = {},
  held = new Map<string, Resources>(),
): ShareOrder<T> {
  const getWeight = (team: string): number => weights[team] ?? 1;
  return new ShareOrder({ capacity: POOL, held, getWeight, candidates });
}

describe('computeTeamShares', () => {
  const usage = (team: string, weight: number, held: Resources, waiting: Resources) => ({
    team,
    weight,
    held,
    waiting,
  });

  it('owes a team with small demand all of it and divides the rest by weight', () => {
    const shares = computeTeamShares(POOL, [
      usage('small', 1, createAmount(2), createAmount(8)),
      usage('hot', 1, createAmount(60), createAmount(640)),
      usage('heavy', 2, NOTHING, createAmount(500)),
    ]);
    assert.ok(Math.abs((shares.get('small')?.owed ?? 0) - 0.1) < 1e-9);
    assert.ok(Math.abs((shares.get('hot')?.owed ?? 0) - 0.3) < 1e-9);
    assert.ok(Math.abs((shares.get('heavy')?.owed ?? 0) - 0.6) < 1e-9);
    assert.equal(shares.get('hot')?.held, 0.6);
  });

  it('owes teams that need different resources more than a half each', () => {
    const shares = computeTeamShares({ cpuMillis: 9_000, memoryMb: 18_000, gpus: 0 }, [
      usage('memory', 1, NOTHING, { cpuMillis: 100_000, memoryMb: 400_000, gpus: 0 }),
      usage('cpu', 1, NOTHING, { cpuMillis: 300_000, memoryMb: 100_000, gpus: 0 }),
    ]);
    // The example of the paper on dominant-resource fairness (Ghodsi et al., 2011).
    assert.ok(Math.abs((shares.get('memory')?.owed ?? 0) - 2 / 3) < 1e-9);
    assert.ok(Math.abs((shares.get('cpu')?.owed ?? 0) - 2 / 3) < 1e-9);
  });

  it('owes nothing to a team without weight, nor of an empty pool', () => {
    const weightless = usage('weightless', 0, createAmount(10), createAmount(10));
    const shares = computeTeamShares(POOL, [weightless]);
    assert.deepEqual(shares.get('weightless'), { held: 0.1, owed: 0 });
    const empty = computeTeamShares(NOTHING, [usage('a', 1, NOTHING, createAmount(10))]);
    assert.deepEqual(empty.get('a'), { held: 0, owed: 0 });
  });
});

describe('ShareOrder', () => {
  it('gives two teams of equal weight the same, one with tasks ten times larger', () => {
    const { cores } = placeAll(
      createOrder([createCandidate('large', 10, 100), createCandidate('small', 1, 1_000)]),
      100,
    );
    assert.deepEqual([cores.get('large'), cores.get('small')], [50, 50]);
  });

  it('gives a hot team what nineteen others leave, and these all that they ask for', () => {
    const others = Array.from({ length: 19 }, (_, index) =>
      createCandidate(`team ${index}`, 1, 3, { remainingMs: 1_500 }),
    );
    const { cores } = placeAll(createOrder([createCandidate('hot', 1, 700), ...others]), 100);
    for (const { team } of others) assert.equal(cores.get(team), 3);
    assert.equal(cores.get('hot'), 43);
  });

  it('keeps twenty teams with waiting work to within one task of each other', () => {
    const teams = Array.from({ length: 20 }, (_, index) =>
      createCandidate(`team ${index}`, 1 + (index % 3), 50),
    );
    const { cores } = placeAll(createOrder(teams), 100);
    const amounts = teams.map(({ team }) => cores.get(team) ?? 0);
    assert.ok(Math.max(...amounts) - Math.min(...amounts) <= 3, amounts.join(' '));
  });

  it('counts what runs, also persistent tasks, as held', () => {
    const held = new Map([['serving', createAmount(40)]]);
    const candidates = [createCandidate('serving', 1, 100), createCandidate('batch', 1, 100)];
    const { cores } = placeAll(createOrder(candidates, {}, held), 60);
    assert.deepEqual([cores.get('serving'), cores.get('batch')], [10, 50]);
  });

  it('divides by weight and gives a team of weight 0 only what others leave', () => {
    const candidates = [
      createCandidate('none', 1, 100),
      createCandidate('one', 1, 100),
      createCandidate('three', 1, 100),
    ];
    const { cores } = placeAll(createOrder(candidates, { none: 0, three: 3 }), 40);
    assert.deepEqual([cores.get('one'), cores.get('three'), cores.get('none')], [10, 30, 0]);
    const alone = placeAll(createOrder(candidates.slice(0, 1), { none: 0 }), 40);
    assert.equal(alone.cores.get('none'), 40);
  });

  it('keeps urgency and priority ahead of shares', () => {
    const held = new Map([['rich', createAmount(90)]]);
    const late = createCandidate('poor', 1, 5, { timeToObjectiveMs: 100 });
    const minor = createCandidate('poor', 1, 5, { priority: 1 });
    const rich = createCandidate('rich', 1, 5);
    const persistent = createCandidate('rich', 1, 5, { isPersistent: true, priority: 2 });
    const { placed } = placeAll(createOrder([late, minor, rich, persistent], {}, held), 20);
    const order = [...new Set(placed)];
    assert.deepEqual(order, [persistent, rich, minor, late]);
  });

  it('places the other tasks of a step whose first task may not start yet', () => {
    const order = createOrder([createCandidate('a', 1, 3), createCandidate('b', 1, 1)]);
    const turns: string[] = [];
    for (let turn = order.take(); turn !== undefined; turn = order.take()) {
      turns.push(`${turn.candidate.team} ${turn.from}-${turn.to}`);
      order.record(turns.length === 1 ? 0 : turn.to - turn.from, false);
    }
    assert.deepEqual(turns.join(', '), 'a 0-1, a 1-2, b 0-1, a 2-3');
  });

  it('ends in time what it starts under three times the load that the pool can serve', () => {
    const atCapacity = countInTime(9, (jobs) => createOrder(jobs));
    const overloaded = countInTime(30, (jobs) => createOrder(jobs));
    const byUrgency = countInTime(30, (jobs) => new UrgencyOrder(jobs));
    const figures = JSON.stringify({ atCapacity, overloaded, byUrgency });
    assert.equal(overloaded.inTime, overloaded.ended, figures);
    assert.ok(overloaded.inTime >= atCapacity.inTime, figures);
    assert.ok(overloaded.inTime > byUrgency.inTime, figures);
  });
});

describe('computeDominantShare', () => {
  it('takes the resource of which most is used', () => {
    assert.equal(computeDominantShare(POOL, { ...FAST, cpuMillis: 30_000 }), 0.3);
  });
});

/** A job of one task that takes up to a fifth longer than expected. */
interface SmallJob extends ShareCandidate {
  readonly dueAt: number;
  readonly takesMs: number;
}

/** Counts ended jobs of 1 s, with an objective of 2 s, of 100 cores. */
function countInTime(
  arrivalsPerTick: number,
  createPass: (jobs: readonly SmallJob[]) => PlacementOrder<SmallJob>,
): { ended: number; inTime: number } {
  let waiting: SmallJob[] = [];
  let running: { endsAt: number; dueAt: number }[] = [];
  let ended = 0;
  let inTime = 0;
  for (let now = 0; now < 20_000; now += 100) {
    for (let index = 0; index < arrivalsPerTick; index += 1) {
      const base = createCandidate('hot', 1, 1);
      waiting.push({ ...base, dueAt: now + 2_000, takesMs: 1_000 + (index % 3) * 100 });
    }
    for (const { endsAt, dueAt } of running.filter((run) => run.endsAt <= now)) {
      ended += 1;
      if (endsAt <= dueAt) inTime += 1;
    }
    running = running.filter(({ endsAt }) => endsAt > now);
    const jobs = waiting.map((job) => ({
      ...job,
      timeToObjectiveMs: job.dueAt - now,
      timeToLateLimitMs: job.dueAt + 4_000 - now,
    }));
    const { placed } = placeAll(createPass(jobs), 100 - running.length);
    for (const { dueAt, takesMs } of placed) running.push({ endsAt: now + takesMs, dueAt });
    const started = new Set(placed);
    waiting = jobs.filter((job) => !started.has(job));
  }
  return { ended, inTime };
}
