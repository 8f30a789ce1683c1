import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { decideAdmission, ReturningCallers } from '@currantgap/admission';
import { createHeld, createRequest, createWait } from './harness.ts';

describe('ReturningCallers', () => {
  it('lets the caller refused longest in first when room returns', () => {
    const callers = new ReturningCallers();
    callers.record('first', 6_000, 0);
    callers.record('second', 6_000, 4_000);
    const held = createHeld([createWait(6_300)]);
    const isAdmitted = (id: string): boolean => {
      const patience = callers.computePatience(id, 8_000);
      return decideAdmission(createRequest({ id, patience }), held, 0) === undefined;
    };
    assert.deepEqual(['first', 'second', 'new'].map(isAdmitted), [true, false, false]);
  });

  it('takes a return long after the announced time as a new attempt', () => {
    const callers = new ReturningCallers();
    callers.record('late', 1_000, 0);
    assert.ok(callers.computePatience('late', 2_000) > 1);
    assert.equal(callers.computePatience('late', 2_001), 1);
  });

  it('keeps a bounded number of ids', () => {
    const callers = new ReturningCallers();
    for (let number = 0; number < 20_000; number += 1) callers.record(String(number), 1_000, 0);
    assert.equal(callers.size, 10_000);
  });
});
