import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { computeMaxMinAllocation, FairQueue, type QueuedItem } from '@currantgap/sharing';

const RUN_MS = 20;

function addItems(
  queue: FairQueue<QueuedItem>,
  team: string,
  count: number,
  deadline = Infinity,
): void {
  for (let index = 0; index < count; index += 1) queue.add({ team, deadline });
}

function takeItems(
  queue: FairQueue<QueuedItem>,
  count: number,
  costs: Record<string, number>,
): Map<string, number> {
  const used = new Map<string, number>();
  for (let index = 0; index < count; index += 1) {
    const item = queue.take(() => true);
    if (item === undefined) break;
    const cost = costs[item.team] ?? RUN_MS;
    queue.recordCost(item.team, cost);
    used.set(item.team, (used.get(item.team) ?? 0) + cost);
  }
  return used;
}

describe('the weighted max-min allocation', () => {
  it('gives no claimant more than its demand and divides the rest by weight', () => {
    const allocations = computeMaxMinAllocation(12, [
      { name: 'a', weight: 1, demand: 1 },
      { name: 'b', weight: 1, demand: 100 },
      { name: 'c', weight: 2, demand: 100 },
    ]);
    assert.equal(allocations.get('a'), 1);
    assert.ok(Math.abs((allocations.get('b') ?? 0) - 11 / 3) < 1e-9);
    assert.ok(Math.abs((allocations.get('c') ?? 0) - 22 / 3) < 1e-9);
  });
});

describe('a fair queue', () => {
  it('charges slot time, so that a team with long runs gets no larger share', () => {
    const queue = new FairQueue<QueuedItem>();
    addItems(queue, 'short', 2000);
    addItems(queue, 'long', 2000);
    const used = takeItems(queue, 1000, { short: 10, long: 50 });
    const ratio = (used.get('long') ?? 0) / (used.get('short') ?? 1);
    assert.ok(ratio > 0.9 && ratio < 1.1, `ratio ${ratio}`);
  });

  it('divides slot time by weight', () => {
    const queue = new FairQueue<QueuedItem>();
    queue.setWeight('large', 3);
    queue.setWeight('small', 1);
    addItems(queue, 'large', 1000);
    addItems(queue, 'small', 1000);
    const used = takeItems(queue, 800, {});
    const ratio = (used.get('large') ?? 0) / (used.get('small') ?? 1);
    assert.ok(ratio > 2.8 && ratio < 3.2, `ratio ${ratio}`);
  });

  it('gives no credit to a team that was idle', () => {
    const queue = new FairQueue<QueuedItem>();
    addItems(queue, 'busy', 1000);
    takeItems(queue, 500, {});
    addItems(queue, 'idle', 1000);
    const used = takeItems(queue, 100, {});
    assert.ok((used.get('busy') ?? 0) >= 40 * RUN_MS);
  });

  describe('under overload', () => {
    it('removes items from the head that would miss their deadline', () => {
      const queue = new FairQueue<QueuedItem>();
      addItems(queue, 'team', 3, 100);
      addItems(queue, 'team', 2, 10_000);
      const late = queue.removeHeads(
        (item) => item.deadline - 90 < queue.estimateMaximumCostMs('team'),
      );
      assert.equal(late.length, 3);
      assert.equal(queue.length, 2);
    });

    it('estimates a higher maximum cost when costs vary widely', () => {
      const queue = new FairQueue<QueuedItem>();
      addItems(queue, 'team', 200);
      for (let index = 0; index < 100; index += 1) {
        queue.take(() => true);
        queue.recordCost('team', index % 2 === 0 ? 10 : 190);
      }
      assert.ok(queue.estimateMaximumCostMs('team') > 200);
    });
  });
});
