import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Stopwatch } from '@currantgap/tasks';

describe('Stopwatch', () => {
  it('counts time in which only the wall clock went on, and ignores a wall clock that was set back', () => {
    const { now } = Date;
    try {
      const watch = new Stopwatch();
      assert.ok(watch.elapsedMs < 1_000);
      Date.now = () => now() + 5_000;
      assert.ok(watch.elapsedMs >= 5_000);
      Date.now = () => now() - 5_000;
      assert.ok(watch.elapsedMs >= 0 && watch.elapsedMs < 1_000);
    } finally {
      Date.now = now;
    }
  });
});
