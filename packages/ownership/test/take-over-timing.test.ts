import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  computeRemainingWait,
  computeSlack,
  computeTakeOverDelay,
  computeWatchPause,
  LEASE_MS,
  MAXIMUM_PAUSE_MS,
  type LeaseRow,
} from '@currantgap/ownership';

const LEASE: LeaseRow = {
  node: 'a',
  incarnation: 'a.1',
  address: 'a:1',
  epoch: 1,
  isReleased: false,
  isSettled: true,
  unsettledTerms: 0,
  successors: [],
  slackMs: 0,
  expiresAt: 10_000,
  targetLeaseMs: 3_000,
  logsVmOrders: true,
};

function computeWait(
  changes: Partial<LeaseRow>,
  storeNow?: number,
  unchangedMs = 0,
  storeLatencyMs = 0,
): number {
  const lease = { ...LEASE, ...changes };
  const view = { lease, node: 'b', takeOverDelayMs: 50, unchangedMs, storeNow, storeLatencyMs };
  return computeRemainingWait(view);
}

describe('the wait before a take-over', () => {
  it('covers the whole lease since the row last changed', () => {
    assert.equal(computeWait({}), LEASE_MS + 50);
    assert.equal(computeWait({}, undefined, LEASE_MS), 50);
  });

  it('adds the slack that a slow store needs for a renewal', () => {
    assert.equal(computeWait({ slackMs: 540 }), LEASE_MS + 540 + 50);
  });

  it('leaves the owner the time of some answers of a store that the contender finds slow', () => {
    for (const storeNow of [undefined, 10_100]) {
      const fast = computeWait({}, storeNow, LEASE_MS, 5);
      const slow = computeWait({}, storeNow, LEASE_MS, 300);
      assert.ok(slow - fast > 4 * 300, `${slow - fast}`);
    }
    assert.equal(computeWait({ slackMs: 2_000 }, undefined, 0, 300), LEASE_MS + 2_050);
  });

  it('is longer on a node with too few cores or a slow link, whatever the jitter', () => {
    const computeDelays = (cores: number, linkMbps: number): number[] =>
      [0, 1].map((random) => computeTakeOverDelay({ cores, linkMbps }, random));
    const strong = computeDelays(0.675, 140);
    for (const weak of [computeDelays(0.324, 140), computeDelays(0.675, 14)]) {
      assert.ok(Math.min(...weak) > Math.max(...strong));
    }
    assert.deepEqual(strong, computeDelays(1.35, 1_000));
  });

  it('ends early once the lease has expired on the store clock', () => {
    assert.ok(computeWait({}, 10_200) <= 0);
    assert.ok(computeWait({}, 9_500) > 0);
  });

  it('is shortest for the named successors, in their order', () => {
    for (const lease of [{ isReleased: true }, {}]) {
      const expiryMs = 'isReleased' in lease ? 0 : LEASE_MS;
      const waits = [['b'], ['c', 'b'], ['c']].map((successors) =>
        computeWait({ ...lease, successors }, undefined, expiryMs),
      );
      assert.equal(waits[0], 0);
      assert.ok((waits[1] ?? 0) > 0);
      assert.ok((waits[2] ?? 0) > (waits[1] ?? 0) + 50);
    }
    assert.equal(computeWait({ isReleased: true }), 50);
  });
});

describe('the slack of a lease', () => {
  it('follows the time that renewals take', () => {
    const progress = { isSettled: true, unsettledTerms: 3 };
    assert.equal(computeSlack({ ...progress, latencyMs: 0 }), 0);
    assert.ok(computeSlack({ ...progress, latencyMs: 300 }) >= 300);
  });

  it('is long enough for any owner to settle after enough terms that ended before', () => {
    for (const requiredMs of [1_000, 5_000, 12_000]) {
      const slacks = Array.from({ length: 8 }, (_, unsettledTerms) =>
        computeSlack({ isSettled: false, unsettledTerms, latencyMs: 0 }),
      );
      assert.ok(slacks.some((slackMs) => slackMs >= requiredMs));
    }
  });
});

describe('the pause after a renewal', () => {
  function computePause(changes: Partial<LeaseRow>, storeNow?: number): number {
    const lease = { ...LEASE, successors: ['c', 'd'], ...changes };
    const view = { node: 'b', takeOverDelayMs: 50, unchangedMs: 0, storeLatencyMs: 5 };
    return computeWatchPause({ ...view, lease, storeNow });
  }

  it('lasts under a second and ends before the lease expires on the store clock', () => {
    assert.equal(computePause({}, 8_800), MAXIMUM_PAUSE_MS);
    assert.ok(computePause({}, 0) < 1_000);
    assert.ok(9_500 + computePause({}, 9_500) < 10_000);
    assert.equal(computePause({}, 10_000), 0);
    assert.equal(computePause({}, 11_000), 0);
  });

  it('is none for a named successor, nor for any node while none is named', () => {
    assert.equal(computePause({ successors: ['c', 'b'] }, 8_800), 0);
    assert.equal(computePause({ successors: [] }, 8_800), 0);
  });

  it('is none after a release, before the owner has settled and without the store clock', () => {
    assert.equal(computePause({ isReleased: true }, 8_800), 0);
    assert.equal(computePause({ isSettled: false }, 8_800), 0);
    assert.equal(computePause({ expiresAt: undefined }, 8_800), 0);
    assert.equal(computePause({}), 0);
  });
});
