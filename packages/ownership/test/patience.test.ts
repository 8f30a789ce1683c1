import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { computePatience, computeWait, LEASE_MS, type LeaseRow } from '@currantgap/ownership';

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

function compute(changes: Partial<LeaseRow>, storeNow?: number, unchangedMs = 0): number {
  const lease = { ...LEASE, ...changes };
  return computeWait({ lease, node: 'b', patienceMs: 50, unchangedMs, storeNow });
}

describe('the patience of a contender', () => {
  it('lasts for the whole lease since the row changed', () => {
    assert.equal(compute({}), LEASE_MS + 50);
    assert.equal(compute({}, undefined, LEASE_MS), 50);
  });

  it('is longer by what a slow store needs for a renewal', () => {
    assert.equal(compute({ slackMs: 540 }), LEASE_MS + 540 + 50);
  });

  it('is longer on a node that is too weak to take over quickly, whatever chance says', () => {
    const strong = [0, 1].map((chance) => computePatience(0.675, chance));
    const weak = [0, 1].map((chance) => computePatience(0.324, chance));
    assert.ok(Math.min(...weak) > Math.max(...strong));
    assert.deepEqual(
      strong,
      [0, 1].map((chance) => computePatience(1.35, chance)),
    );
  });

  it('ends early once the store shows the lease as over', () => {
    assert.ok(compute({}, 10_200) <= 0);
    assert.ok(compute({}, 9_500) > 0);
  });

  it('ends at once for the successor that a release names, and later for others', () => {
    assert.equal(compute({ isReleased: true, successor: 'b' }), 0);
    assert.ok(compute({ isReleased: true, successor: 'c' }) > 50);
    assert.equal(compute({ isReleased: true }), 50);
  });
});
