import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ChangeKind } from '@currantgap/environment';
import { StartGate } from '@currantgap/freshness';
import { VirtualClock } from '@currantgap/tasks';

const BOUND_MS = 4_000;
const RIGA = { keyHash: 'k', dataCentre: 'riga', vm: 'a' };
const LIEPAJA = { keyHash: 'k', dataCentre: 'liepaja', vm: 'b' };
const TAKE_OUT = { kind: ChangeKind.TakeOutDataCentre, dataCentre: 'riga' } as const;

function createGate(): { clock: VirtualClock; gate: StartGate } {
  const clock = new VirtualClock();
  return { clock, gate: new StartGate(clock, BOUND_MS) };
}

describe('the start gate', () => {
  it('is closed until freshness is renewed for the first time', () => {
    assert.equal(createGate().gate.canStart(RIGA), false);
  });

  it('measures the freshness bound from the instant the read was sent', () => {
    const { clock, gate } = createGate();
    clock.advanceTo(1_000);
    gate.renewByRead(200);
    clock.advanceTo(4_199);
    assert.ok(gate.canStart(RIGA));
    clock.advanceTo(4_200);
    assert.equal(gate.canStart(RIGA), false);
  });

  it('keeps the later expiry when an older renewal follows', () => {
    const { clock, gate } = createGate();
    gate.renewByRead(1_000);
    gate.renewByRead(0);
    clock.advanceTo(4_500);
    assert.ok(gate.canStart(RIGA));
  });

  it('stays closed permanently after close', () => {
    const { gate } = createGate();
    gate.close();
    gate.renewByRead(0);
    assert.equal(gate.canStart(RIGA), false);
  });

  describe('with an announced change', () => {
    it('refuses only the starts that the change affects while freshness rests on peers', () => {
      const { gate } = createGate();
      gate.renewByPeers(0);
      gate.announce({ id: '1', epoch: 1, change: TAKE_OUT });
      assert.equal(gate.canStart(RIGA), false);
      assert.ok(gate.canStart(LIEPAJA));
    });

    it('allows starts after an own read of the log, which would have found the change', () => {
      const { gate } = createGate();
      gate.renewByPeers(0);
      gate.announce({ id: '1', epoch: 1, change: TAKE_OUT });
      gate.renewByRead(0);
      assert.ok(gate.canStart(RIGA));
    });

    it('ignores a late announcement of a resolved change', () => {
      const { gate } = createGate();
      gate.renewByPeers(0);
      gate.resolve('1');
      gate.announce({ id: '1', epoch: 1, change: TAKE_OUT });
      assert.ok(gate.canStart(RIGA));
    });

    it('keeps announcements of the current epoch when earlier ones are dropped', () => {
      const { gate } = createGate();
      gate.renewByPeers(0);
      gate.announce({ id: '1', epoch: 1, change: TAKE_OUT });
      gate.announce({ id: '2', epoch: 2, change: TAKE_OUT });
      gate.dropAnnouncementsBefore(2);
      assert.equal(gate.listAnnouncements().length, 1);
      assert.equal(gate.canStart(RIGA), false);
    });
  });
});
