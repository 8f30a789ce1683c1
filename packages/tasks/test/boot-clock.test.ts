import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { BootClock } from '@currantgap/tasks';

const SUSPENSION_MS = 5_000;
/** Resolution of the wall clock in milliseconds. */
const RESOLUTION_MS = 1;

describe('BootClock', () => {
  it('counts a suspension once, and ignores a wall clock that is set back', () => {
    const { now } = Date;
    try {
      const clock = new BootClock();
      const startedAt = clock.now;
      Date.now = () => now() + SUSPENSION_MS;
      const resumedAt = clock.now;
      assert.ok(resumedAt - startedAt >= SUSPENSION_MS - RESOLUTION_MS);
      assert.ok(clock.now - resumedAt < SUSPENSION_MS);
      Date.now = now;
      assert.ok(clock.now >= resumedAt);
      assert.ok(clock.now - resumedAt < SUSPENSION_MS);
    } finally {
      Date.now = now;
    }
  });
});
