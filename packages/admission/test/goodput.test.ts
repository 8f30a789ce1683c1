import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  computePoolWaits,
  ContentionTracker,
  decideAdmission,
  EvidenceHolder,
  GrowthMeter,
  PUBLISH_PERIOD_MS,
} from '@currantgap/admission';
import { createRequest, createResources, ROUTE } from './harness.ts';

const STEP_MS = 10;
const LENGTH_MS = 16_000;
const CORES = 100;
const TASK_MS = 1_000;
const OBJECTIVE_MS = 2_200;

interface Outcome {
  offered: number;
  refused: number;
  inTime: number;
}

interface QueuedTask {
  readonly team: string;
  readonly arrivedAt: number;
}

/**
 * Serves tasks of one core and one second on 100 cores. Each free core goes to the team that holds
 * least; of its tasks, those that can still end in time go first, in the order of arrival. `loads` are
 * the arrivals of each team in multiples of what the cores serve.
 */
function serve(loads: Readonly<Record<string, number>>): Map<string, Outcome> {
  const holder = new EvidenceHolder();
  const tracker = new ContentionTracker();
  const meter = new GrowthMeter();
  const arrived = new Map<string, number>();
  const outcomes = new Map(
    Object.keys(loads).map((team) => [team, { offered: 0, refused: 0, inTime: 0 }]),
  );
  let running: { team: string; endsAt: number }[] = [];
  const queues = new Map(Object.keys(loads).map((team) => [team, [] as QueuedTask[]]));
  const isOnTime = ({ arrivedAt }: QueuedTask, now: number): boolean =>
    now + TASK_MS <= arrivedAt + OBJECTIVE_MS;
  const count = (team: string): number => running.filter((run) => run.team === team).length;

  for (let now = 0; now < LENGTH_MS; now += STEP_MS) {
    running = running.filter(({ endsAt }) => endsAt > now);
    if (now % PUBLISH_PERIOD_MS < STEP_MS) {
      const teams = [...queues].map(([team, queue]) => {
        const waiting = queue.filter((task) => isOnTime(task, now)).length;
        return {
          team,
          weight: 1,
          held: createResources(count(team)),
          persistent: createResources(0),
          waiting: createResources(waiting),
          work: [
            {
              priority: 0,
              work: createResources(waiting * TASK_MS),
              arriving: createResources(((arrived.get(team) ?? 0) * TASK_MS) / PUBLISH_PERIOD_MS),
            },
          ],
        };
      });
      const pool = { service: ROUTE.service, capacity: createResources(CORES), teams };
      arrived.clear();
      const waits = computePoolWaits({ ...pool, extra: createResources(0), extraAfterMs: 0 });
      const evidence = meter.apply(waits);
      const change = tracker.update([{ evidence, tolerableWaitMs: ROUTE.latencyObjectiveMs }]);
      const largestTask = createResources(64, 1_000);
      if (change !== undefined) holder.accept({ epoch: 1, largestTask, pools: change.pools }, now);
    }
    for (const [team, load] of Object.entries(loads)) {
      const outcome = outcomes.get(team);
      const due = Math.floor(((now + STEP_MS) * load * CORES) / TASK_MS);
      while (outcome !== undefined && outcome.offered < due) {
        outcome.offered += 1;
        if (decideAdmission(createRequest({ team }), holder.held, now) !== undefined)
          outcome.refused += 1;
        else {
          queues.get(team)?.push({ team, arrivedAt: now });
          arrived.set(team, (arrived.get(team) ?? 0) + 1);
        }
      }
    }
    while (running.length < CORES) {
      const candidates = [...queues].filter(([, queue]) => queue.length > 0);
      candidates.sort(([left], [right]) => count(left) - count(right));
      const [first] = candidates;
      if (first === undefined) break;
      const [team, queue] = first;
      const position = Math.max(
        0,
        queue.findIndex((task) => isOnTime(task, now)),
      );
      const [task] = queue.splice(position, 1);
      running.push({ team, endsAt: now + TASK_MS });
      const outcome = outcomes.get(team);
      if (task !== undefined && outcome !== undefined && isOnTime(task, now)) outcome.inTime += 1;
    }
  }
  return outcomes;
}

describe('Goodput under admission', () => {
  for (const load of [0.5, 0.9, 1, 1.5, 2, 3, 4]) {
    it(`stays at what the pool serves at ${load} times its capacity`, () => {
      const outcome = serve({ only: load }).get('only');
      assert.ok(outcome !== undefined);
      const served = outcome.inTime / ((LENGTH_MS / TASK_MS) * CORES);
      assert.ok(served > 0.95 * Math.min(1, load), `${served} in time`);
      if (load <= 1) assert.equal(outcome.refused, 0);
      const abandoned = outcome.offered - outcome.refused - outcome.inTime;
      assert.ok(abandoned < 0.3 * CORES * (LENGTH_MS / TASK_MS), `${abandoned} taken in vain`);
    });
  }

  it('serves a team within its share as if a hot team of seven times the capacity were not there', () => {
    const outcomes = serve({ small: 0.3, hot: 7 });
    const small = outcomes.get('small');
    const hot = outcomes.get('hot');
    assert.ok(small !== undefined && hot !== undefined);
    assert.equal(small.refused, 0);
    assert.ok(small.inTime > 0.97 * small.offered - 100, `${small.inTime} of ${small.offered}`);
    const capacity = (LENGTH_MS / TASK_MS) * CORES;
    assert.ok(hot.inTime > 0.9 * (capacity - small.inTime), `${hot.inTime} of ${capacity}`);
  });
});
