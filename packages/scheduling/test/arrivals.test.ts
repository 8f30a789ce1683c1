import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ArrivalMeter } from '@currantgap/scheduling';

/** Work of one submission: one core for a second. */
const WORK = { cpuWork: 1_000_000, memoryWork: 0 };

/** Records arrivals at a steady rate up to `until`; the times are in milliseconds. */
function recordSteady(meter: ArrivalMeter, from: number, until: number, everyMs: number): void {
  for (let at = from; at < until; at += everyMs) meter.record({ at, ...WORK });
}

/** Cores that a meter expects to be in use. */
function getCores(meter: ArrivalMeter, now: number): number {
  return meter.computeLoad(now).cpuMillis / 1_000;
}

// Load: each queue in its turn asks several times its mean for some seconds, and hardly anything
// between its turns.
describe('the arrivals of a queue with turns', () => {
  it('show the height of a turn within 400 ms', () => {
    const meter = new ArrivalMeter();
    recordSteady(meter, 0, 2_000, 500);
    recordSteady(meter, 2_000, 2_400, 20);
    assert.ok(getCores(meter, 2_400) > 45, `${getCores(meter, 2_400)} of 50 cores`);
  });

  it('show the end of a turn within a second', () => {
    const meter = new ArrivalMeter();
    recordSteady(meter, 0, 4_000, 20);
    assert.equal(getCores(meter, 5_000), 0);
  });

  it('go on at the same rate while the feed of submissions stands still for half a second', () => {
    const meter = new ArrivalMeter();
    recordSteady(meter, 0, 4_000, 20);
    const cores = getCores(meter, 4_500);
    assert.ok(cores > 30, `${cores} of 50 cores`);
  });

  it('keep the highest load that lasted', () => {
    const meter = new ArrivalMeter();
    recordSteady(meter, 0, 4_000, 20);
    recordSteady(meter, 4_000, 8_000, 1_000);
    const peak = meter.computePeak().cpuMillis / 1_000;
    assert.ok(peak > 45 && peak < 55, `${peak} of 50 cores`);
  });
});

// Load: few submissions a second, at random times, so that short windows hold several or none.
describe('the arrivals of a slow queue', () => {
  it('are not taken for a burst when four come together', () => {
    const meter = new ArrivalMeter();
    recordSteady(meter, 0, 4_000, 125);
    recordSteady(meter, 4_000, 4_100, 25);
    assert.ok(getCores(meter, 4_100) < 13, `${getCores(meter, 4_100)} of 8 cores`);
  });

  it('are not taken for the end of a turn in a pause of three intervals', () => {
    const meter = new ArrivalMeter();
    recordSteady(meter, 0, 4_000, 125);
    assert.ok(getCores(meter, 4_375) > 4, `${getCores(meter, 4_375)} of 8 cores`);
  });
});
