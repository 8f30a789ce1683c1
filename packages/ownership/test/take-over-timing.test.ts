import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  computeTakeOverDelay,
  computeRemainingWait,
  LEASE_MS,
  type LeaseRow,
} from '@currantgap/ownership';

const LEASE: LeaseRow = {
  node: 'a',
  incarnation: 'a.1',
  address: 'a:1',
  epoch: 1,
  isReleased: false,
  successor: undefined,
  slackMs: 0,
  expiresAt: 10_000,
  vmOrderAgeMs: undefined,
  targets: [],
};

function computeWait(changes: Partial<LeaseRow>, storeNow?: number, unchangedMs = 0): number {
  const lease = { ...LEASE, ...changes };
  return computeRemainingWait({ lease, node: 'b', takeOverDelayMs: 50, unchangedMs, storeNow });
}

describe('the wait before a take-over', () => {
  it('covers the whole lease since the row last changed', () => {
    assert.equal(computeWait({}), LEASE_MS + 50);
    assert.equal(computeWait({}, undefined, LEASE_MS), 50);
  });

  it('adds the slack that a slow store needs for a renewal', () => {
    assert.equal(computeWait({ slackMs: 540 }), LEASE_MS + 540 + 50);
  });

  it('is longer on a node with too few cores, whatever the jitter', () => {
    const strong = [0, 1].map((random) => computeTakeOverDelay(0.675, random));
    const weak = [0, 1].map((random) => computeTakeOverDelay(0.324, random));
    assert.ok(Math.min(...weak) > Math.max(...strong));
    assert.deepEqual(
      strong,
      [0, 1].map((random) => computeTakeOverDelay(1.35, random)),
    );
  });

  it('ends early once the lease has expired on the store clock', () => {
    assert.ok(computeWait({}, 10_200) <= 0);
    assert.ok(computeWait({}, 9_500) > 0);
  });

  it('ends at once for the named successor of a released lease and later for other nodes', () => {
    assert.equal(computeWait({ isReleased: true, successor: 'b' }), 0);
    assert.ok(computeWait({ isReleased: true, successor: 'c' }) > 50);
    assert.equal(computeWait({ isReleased: true }), 50);
  });
});
