import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { computeMaxMin, FairQueue, type Waiting } from '@currantgap/sharing';

const RUN_MS = 20;

function fill(queue: FairQueue<Waiting>, team: string, count: number, deadline = Infinity): void {
  for (let item = 0; item < count; item += 1) queue.add({ team, deadline });
}

function serve(
  queue: FairQueue<Waiting>,
  count: number,
  costs: Record<string, number>,
): Map<string, number> {
  const used = new Map<string, number>();
  for (let turn = 0; turn < count; turn += 1) {
    const item = queue.take(() => true);
    if (item === undefined) break;
    const cost = costs[item.team] ?? RUN_MS;
    queue.record(item.team, cost);
    used.set(item.team, (used.get(item.team) ?? 0) + cost);
  }
  return used;
}

describe('the weighted max-min division', () => {
  it('gives nobody more than its demand and divides the rest by weight', () => {
    const division = computeMaxMin(12, [
      { name: 'a', weight: 1, demand: 1 },
      { name: 'b', weight: 1, demand: 100 },
      { name: 'c', weight: 2, demand: 100 },
    ]);
    assert.equal(division.get('a'), 1);
    assert.ok(Math.abs((division.get('b') ?? 0) - 11 / 3) < 1e-9);
    assert.ok(Math.abs((division.get('c') ?? 0) - 22 / 3) < 1e-9);
  });
});

describe('a fair queue', () => {
  it('charges slot time, so that long runs earn a team no more', () => {
    const queue = new FairQueue<Waiting>();
    fill(queue, 'short', 2000);
    fill(queue, 'long', 2000);
    const used = serve(queue, 1000, { short: 10, long: 50 });
    const part = (used.get('long') ?? 0) / (used.get('short') ?? 1);
    assert.ok(part > 0.9 && part < 1.1, `part ${part}`);
  });

  it('divides by weight', () => {
    const queue = new FairQueue<Waiting>();
    queue.setWeight('large', 3);
    queue.setWeight('small', 1);
    fill(queue, 'large', 1000);
    fill(queue, 'small', 1000);
    const used = serve(queue, 800, {});
    const part = (used.get('large') ?? 0) / (used.get('small') ?? 1);
    assert.ok(part > 2.8 && part < 3.2, `part ${part}`);
  });

  it('gives a team that was idle no credit', () => {
    const queue = new FairQueue<Waiting>();
    fill(queue, 'busy', 1000);
    serve(queue, 500, {});
    fill(queue, 'idle', 1000);
    const used = serve(queue, 100, {});
    assert.ok((used.get('busy') ?? 0) >= 40 * RUN_MS);
  });

  describe('under overload', () => {
    it('drops from the head what could no longer be answered in time', () => {
      const queue = new FairQueue<Waiting>();
      fill(queue, 'team', 3, 100);
      fill(queue, 'team', 2, 10_000);
      const late = queue.removeHeads(
        (item) => item.deadline - 90 < queue.getLikelyLongestCost('team'),
      );
      assert.equal(late.length, 3);
      assert.equal(queue.length, 2);
    });

    it('expects a run to last longer when runs differ much', () => {
      const queue = new FairQueue<Waiting>();
      fill(queue, 'team', 200);
      for (let turn = 0; turn < 100; turn += 1) {
        queue.take(() => true);
        queue.record('team', turn % 2 === 0 ? 10 : 190);
      }
      assert.ok(queue.getLikelyLongestCost('team') > 200);
    });
  });
});
