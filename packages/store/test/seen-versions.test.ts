import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { SeenVersions } from '@currantgap/store';

describe('SeenVersions', () => {
  it('finds the version that was seen at a time, and none before the first', () => {
    const seen = new SeenVersions();
    seen.record(5, 1_000);
    seen.record(9, 1_500);
    assert.deepEqual(
      [999, 1_000, 1_499, 1_500].map((at) => seen.findAt(at)),
      [0, 5, 5, 9],
    );
  });

  it('never finds a version before it was seen, however many are seen', () => {
    const seen = new SeenVersions();
    for (let now = 0; now < 5_000; now += 7) {
      seen.record(now, now);
      for (const ageMs of [0, 300, 800, 1_500]) {
        const found = seen.findAt(now - ageMs);
        assert.ok(found <= Math.max(0, now - ageMs));
        assert.ok(found >= now - ageMs - 220 || now < ageMs + 220, `${found} at ${now}`);
      }
    }
  });

  it('ignores a version lower than the last one', () => {
    const seen = new SeenVersions();
    seen.record(9, 1_000);
    seen.record(5, 1_500);
    assert.equal(seen.findAt(2_000), 9);
  });
});
