import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  canBackfill,
  chooseReservation,
  computeReservationLimit,
  isReservationOpenTo,
  isSmaller,
  RoomCheck,
  shouldReserve,
  Urgency,
  type ExpectedEnd,
  type ReservableTarget,
} from '@currantgap/scheduling';

const NOW = 10_000;

function createCores(cores: number): { cpuMillis: number; memoryMb: number; gpus: number } {
  return { cpuMillis: cores * 1_000, memoryMb: cores * 1_024, gpus: 0 };
}

/** A target of 8 cores whose runs, of one core each, end at the given times. */
function createTarget(id: string, ends: readonly number[]): ReservableTarget {
  const runs = ends.map((endsAt): ExpectedEnd => ({ footprint: createCores(1), endsAt }));
  return {
    id,
    capacity: createCores(8),
    used: createCores(ends.length),
    listExpectedEnds: () => runs,
  };
}

describe('Reservation of a target for a large task beside a stream of small ones', () => {
  describe('shouldReserve', () => {
    const task = {
      footprint: createCores(6),
      blockedSince: NOW,
      startBy: NOW + 4_000,
      smallerStartedAt: NOW + 900,
    };

    it('waits for a quarter of the slack', () => {
      assert.equal(shouldReserve(task, NOW + 999), false);
      assert.equal(shouldReserve(task, NOW + 1_000), true);
    });

    it('reserves nothing while no smaller task takes the room', () => {
      assert.equal(shouldReserve({ ...task, smallerStartedAt: NOW - 1 }, NOW + 3_000), false);
    });
  });

  describe('chooseReservation', () => {
    it('takes the target that frees enough soonest, not the one whose first run ends soonest', () => {
      const soon = createTarget('soon', [NOW + 100, ...Array<number>(7).fill(NOW + 9_000)]);
      const all = createTarget('all', Array<number>(8).fill(NOW + 1_000));
      const chosen = chooseReservation(createCores(6), [soon, all], NOW, NOW + 5_000);
      assert.equal(chosen?.targetId, 'all');
      assert.equal(chosen.startsAt, NOW + 1_000);
      assert.equal(chosen.expiresAt, NOW + 1_500);
    });

    it('reserves no target that persistent tasks keep, that is too small or too late', () => {
      const persistent = createTarget('persistent', Array<number>(4).fill(Infinity));
      const late = createTarget('late', Array<number>(8).fill(NOW + 1_200));
      const targets = [persistent, late];
      assert.equal(chooseReservation(createCores(6), targets, NOW, NOW + 1_100), undefined);
      assert.equal(chooseReservation(createCores(9), targets, NOW, Infinity), undefined);
    });

    it('keeps no target free for longer than its work may be missed', () => {
      const choose = (endsAt: number): ReturnType<typeof chooseReservation> => {
        const target = createTarget('t', Array<number>(8).fill(endsAt));
        return chooseReservation(createCores(6), [target], NOW, Infinity);
      };
      assert.equal(choose(NOW + 1_501), undefined);
      assert.ok((choose(NOW + 1_500)?.expiresAt ?? Infinity) < NOW + 3_000);
    });
  });

  it('lets other work start there only if it ends before the start', () => {
    const reservation = { targetId: 't', startsAt: NOW + 1_000, expiresAt: NOW + 1_500 };
    assert.equal(canBackfill(reservation, NOW, 1_000), true);
    assert.equal(canBackfill(reservation, NOW, 1_001), false);
    assert.equal(canBackfill(reservation, NOW + 1_200, 1), false);
  });

  it('keeps few targets of a pool reserved, and none of a small one', () => {
    assert.deepEqual([0, 3, 4, 20, 200].map(computeReservationLimit), [0, 0, 1, 2, 3]);
  });

  it('is open to steps that go first by urgency, then by priority', () => {
    const reserved = { urgency: Urgency.BeyondWeight, priority: 1 };
    assert.equal(isReservationOpenTo(reserved, { urgency: Urgency.OnTime, priority: 2 }), true);
    assert.equal(isReservationOpenTo(reserved, { ...reserved, priority: 0 }), true);
    assert.equal(isReservationOpenTo(reserved, reserved), false);
    assert.equal(isReservationOpenTo(reserved, { urgency: Urgency.Late, priority: 0 }), false);
  });

  it('compares footprints in all resources', () => {
    assert.equal(isSmaller(createCores(1), createCores(2)), true);
    assert.equal(isSmaller(createCores(2), createCores(2)), false);
    assert.equal(isSmaller({ ...createCores(1), gpus: 1 }, createCores(2)), false);
  });
});

describe('RoomCheck', () => {
  it('tries no target again for what takes at least as much as what found no room', () => {
    let triedCount = 0;
    const target = {
      capacity: createCores(4),
      get used() {
        triedCount += 1;
        return createCores(3);
      },
    };
    const room = new RoomCheck([target]);
    assert.equal(room.hasRoom(createCores(2)), false);
    assert.equal(room.hasRoom(createCores(3)), false);
    assert.equal(triedCount, 1);
    assert.equal(room.hasRoom(createCores(1)), true);
  });
});
