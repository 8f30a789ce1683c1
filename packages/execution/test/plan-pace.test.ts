import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { PlanPace } from '../src/plan-pace.ts';

// Load: hundreds of waiting steps, so that planning takes milliseconds, and a report for each end.
describe('PlanPace', () => {
  it('plans a short queue a few milliseconds after an event', () => {
    const pace = new PlanPace();
    assert.equal(pace.batchMs, 4);
    pace.record(0.3);
    assert.equal(pace.batchMs, 4);
  });

  it('leaves four fifths of the time to orders and reports while the queue is long', () => {
    const pace = new PlanPace();
    pace.record(10);
    assert.equal(pace.batchMs, 40);
  });

  it('keeps callers from waiting for a plan that takes very long', () => {
    const pace = new PlanPace();
    pace.record(200);
    assert.equal(pace.batchMs, 60);
    pace.record(1);
    assert.equal(pace.batchMs, 4);
  });
});
