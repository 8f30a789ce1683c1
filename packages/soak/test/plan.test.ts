import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { drawPlan, TargetReturn } from '@currantgap/soak';

const PLANS = Array.from({ length: 40 }, (_, index) => drawPlan(index + 1));

describe('drawPlan', () => {
  it('crashes a target in each plan whose targets are old, and only after the targets are open', () => {
    const old = PLANS.filter(({ targetAgeMs }) => targetAgeMs > 0);
    assert.ok(old.length > 0);
    for (const { failures } of old)
      assert.ok(failures.some(({ kind }) => kind === TargetReturn.LateCalls));
    for (const { failures, targetsOpenAtMs } of PLANS)
      for (const { kind, startOffsetMs } of failures)
        assert.ok(kind !== TargetReturn.LateCalls || startOffsetMs >= targetsOpenAtMs);
  });
});
