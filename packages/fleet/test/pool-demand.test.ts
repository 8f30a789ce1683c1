import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  computeRequiredAmount,
  computeStandingShare,
  listNextPools,
  type PoolResource,
  type PoolTimes,
} from '@currantgap/fleet';

const IDLE: PoolResource = {
  persistent: 0,
  running: 0,
  arriving: 0,
  waiting: 0,
  waitingWork: 0,
  runningWork: 0,
  capacity: 0,
  incoming: 0,
};
/** Work that may wait twice as long as a VM takes. */
const PATIENT: PoolTimes = { bringUpMs: 2_000, slackMs: 4_000 };
/** Work that may wait half as long as a VM takes. */
const HURRIED: PoolTimes = { bringUpMs: 2_000, slackMs: 1_000 };

describe('computeRequiredAmount', () => {
  describe('of a pool that keeps up', () => {
    it('asks for the load that arrives, with room for tasks of mixed sizes', () => {
      const required = computeRequiredAmount(
        { ...IDLE, running: 100, arriving: 100, runningWork: 50_000, capacity: 150 },
        PATIENT,
      );
      assert.ok(required > 100 && required < 150, String(required));
    });

    it('keeps persistent tasks apart from the rest', () => {
      const busy = { ...IDLE, running: 100, arriving: 100, capacity: 160 };
      const base = computeRequiredAmount(busy, PATIENT);
      const withPersistent = { ...busy, persistent: 40, capacity: 200 };
      assert.equal(computeRequiredAmount(withPersistent, PATIENT), base + 40);
    });
  });

  describe('of a pool whose load rises', () => {
    it('asks for more than the load, to work off what waited while VMs came', () => {
      const rising = { ...IDLE, running: 50, arriving: 400, waitingWork: 80_000, capacity: 50 };
      const required = computeRequiredAmount(rising, HURRIED);
      assert.ok(required > 600 && required < 1_000, String(required));
    });

    it('asks for room for all that waits at once if callers cannot wait for VMs', () => {
      const rising = { ...IDLE, running: 50, arriving: 100, waiting: 900, capacity: 50 };
      assert.ok(computeRequiredAmount(rising, HURRIED) >= 950);
      assert.ok(computeRequiredAmount(rising, PATIENT) < 300);
    });

    it('asks for the load alone if its callers can wait until what has piled up is done', () => {
      const rising = { ...IDLE, running: 50, arriving: 400, waitingWork: 80_000, capacity: 50 };
      const required = computeRequiredAmount(rising, { bringUpMs: 2_000, slackMs: 8_000 });
      assert.ok(required >= 400 && required < 500, String(required));
    });

    it('asks for less once VMs are on the way', () => {
      const rising = { ...IDLE, running: 50, arriving: 400, waitingWork: 80_000, capacity: 50 };
      const required = computeRequiredAmount(rising, HURRIED);
      const ordered = computeRequiredAmount({ ...rising, incoming: 600 }, HURRIED);
      assert.ok(ordered < required);
      assert.ok(ordered >= 400, String(ordered));
    });
  });

  it('asks for no more than what runs once nothing arrives or waits', () => {
    const ending = { ...IDLE, running: 80, runningWork: 40_000, capacity: 400 };
    assert.equal(computeRequiredAmount(ending, PATIENT), 80);
  });
});

describe('computeStandingShare', () => {
  it('keeps room for the callers who cannot wait for a VM', () => {
    assert.equal(computeStandingShare(HURRIED), 0.5);
    assert.equal(computeStandingShare(PATIENT), 0);
  });
});

// Load: demand that turns from pool to pool.
describe('listNextPools', () => {
  it('names all pools before the first turn', () => {
    const never = new Map([
      ['a', -Infinity],
      ['b', -Infinity],
      ['c', -Infinity],
    ]);
    assert.deepEqual([...listNextPools(never)], ['a', 'b', 'c']);
  });

  it('names the half whose last turn lies longest back', () => {
    const turns = new Map([
      ['a', 9_000],
      ['b', 13_000],
      ['c', -Infinity],
      ['d', 4_000],
    ]);
    assert.deepEqual([...listNextPools(turns)], ['c', 'd']);
  });

  it('names the only pool there is', () => {
    assert.deepEqual([...listNextPools(new Map([['a', 4_000]]))], ['a']);
  });
});
