import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { decidePoolSizes, DemandHistory, RecentPeak } from '@currantgap/fleet';

const CORE_MS = 1_000_000;
const NOTHING = { cpuMillis: 0, memoryMb: 0 };

/** Records submissions of 50 core seconds at a steady rate; returns the time of the last. */
function submit(
  history: DemandHistory,
  { from, to, perS }: { from: number; to: number; perS: number },
): number {
  for (let at = from; at < to; at += 1_000 / perS) {
    history.record({ at, cpuWork: 50 * CORE_MS, memoryWork: 0 });
    history.observe(at);
  }
  return to;
}

function countCores(history: DemandHistory, now: number, given = NOTHING): number {
  return history.computeExpectedLoad(now, given).cpuMillis / 1_000;
}

describe('DemandHistory', () => {
  it('expects the height of the last turn of a pool within half a second of its next one', () => {
    const history = new DemandHistory();
    submit(history, { from: 0, to: 12_000, perS: 80 });
    submit(history, { from: 12_000, to: 20_000, perS: 1 });
    // The rise begins with half of its later rate.
    const cores = countCores(history, submit(history, { from: 20_000, to: 20_500, perS: 40 }));
    assert.ok(cores >= 3_400 && cores <= 4_000, `${cores} cores`);
  });

  it('expects the load for which operators sized the pool in its first turn', () => {
    const history = new DemandHistory();
    const now = submit(history, { from: 0, to: 500, perS: 40 });
    assert.ok(countCores(history, now) < 2_500);
    assert.ok(countCores(history, now, { cpuMillis: 2_800_000, memoryMb: 0 }) >= 2_800);
  });

  it('never expects more than twice what arrives, however high demand was before', () => {
    const history = new DemandHistory();
    submit(history, { from: 0, to: 12_000, perS: 200 });
    const cores = countCores(history, submit(history, { from: 20_000, to: 20_500, perS: 20 }));
    assert.ok(cores >= 1_000 && cores <= 2_600, `${cores} cores`);
  });

  it('expects the steady load where demand has no period', () => {
    const history = new DemandHistory();
    const now = submit(history, { from: 0, to: 30_000, perS: 20 });
    const cores = countCores(history, now, { cpuMillis: 2_800_000, memoryMb: 0 });
    assert.ok(cores >= 950 && cores < 1_200, `${cores} cores`);
  });

  it('expects no turn before it shows, so that a shifted period changes nothing', () => {
    for (const at of [30_000, 37_000]) {
      const history = new DemandHistory();
      submit(history, { from: 0, to: 12_000, perS: 80 });
      assert.equal(countCores(history, at), 0);
      assert.ok(
        countCores(history, submit(history, { from: at, to: at + 500, perS: 80 })) >= 3_400,
      );
    }
  });

  it('takes a short burst in a pool that has none for a height only in part, and forgets it', () => {
    const history = new DemandHistory();
    submit(history, { from: 0, to: 20_000, perS: 20 });
    const now = submit(history, { from: 20_000, to: 22_000, perS: 100 });
    const cores = (at: number): number => history.computeHeight(at).cpuMillis / 1_000;
    assert.ok(cores(now) > 1_000 && cores(now) < 3_000, `${cores(now)} cores`);
    assert.ok(cores(now + 600_000) < 150);
  });

  it('expects nothing of a slow pool in which a single submission has arrived', () => {
    const history = new DemandHistory();
    history.record({ at: 0, cpuWork: 400 * CORE_MS, memoryWork: 0 });
    assert.equal(countCores(history, 10, { cpuMillis: 2_800_000, memoryMb: 0 }), 0);
  });
});

describe('decidePoolSizes with VMs that a pool keeps for a while', () => {
  const ended = { service: 'gust', persistentVms: 5, demandVms: 2, keptVms: 60 };
  const risen = { service: 'icing', persistentVms: 6, demandVms: 80, keptVms: 0 };

  it('lets a pool keep VMs that no other pool needs', () => {
    assert.deepEqual([...decidePoolSizes([ended, risen], 200).values()], [60, 81]);
  });

  it('gives kept VMs to a pool in its turn if more is wanted than there is', () => {
    assert.deepEqual([...decidePoolSizes([ended, risen], 100).values()], [19, 81]);
    assert.deepEqual([...decidePoolSizes([ended, risen], 60).values()], [5, 55]);
  });

  it('keeps nothing at an idle start beyond the minimum', () => {
    const idle = { service: 'gust', persistentVms: 0, demandVms: 0, keptVms: 0 };
    assert.deepEqual([...decidePoolSizes([idle], 200).values()], [2]);
  });
});

describe('RecentPeak', () => {
  it('holds the highest value for the length of its window, and then the next lower one', () => {
    const peak = new RecentPeak(2_000);
    assert.equal(peak.record(0, 80), 80);
    assert.equal(peak.record(1_000, 50), 80);
    assert.equal(peak.record(1_900, 10), 80);
    assert.equal(peak.record(2_100, 10), 50);
    assert.equal(peak.record(4_200, 10), 10);
  });
});
