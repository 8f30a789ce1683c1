import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  CopyBudget,
  estimateRemainingMs,
  isProgressKnown,
  isStraggler,
  shouldCopy,
  type CopyProposal,
  type RunProgress,
} from '@currantgap/scheduling';

const SLOW_RUN: RunProgress = {
  elapsedMs: 2_000,
  reportedMs: 1_600,
  percent: 28,
  isSilent: false,
  quantileMs: 1_500,
};

/** A job that is late unless a copy ends first. */
const PROPOSAL: CopyProposal = {
  originalMs: 5_000,
  copyMs: 1_000,
  followingMs: 0,
  remainingMs: 0,
  timeToObjectiveMs: 1_500,
  timeToLateLimitMs: 8_000,
};

describe('a run', () => {
  it('is a straggler only beyond the quantile and the shortest time', () => {
    assert.ok(isStraggler(SLOW_RUN));
    assert.equal(isStraggler({ ...SLOW_RUN, quantileMs: 2_000 }), false);
    assert.equal(isStraggler({ ...SLOW_RUN, elapsedMs: 400, quantileMs: 100 }), false);
  });

  it('is expected to go on at its rate up to the last report', () => {
    assert.equal(estimateRemainingMs({ ...SLOW_RUN, percent: 64 }), 500);
    assert.equal(estimateRemainingMs({ ...SLOW_RUN, percent: 90 }), 0);
    assert.ok(isProgressKnown(SLOW_RUN));
    assert.equal(isProgressKnown({ ...SLOW_RUN, reportedMs: 1_400 }), false);
  });

  it('without progress or on a silent target counts as hung, and so does a very long one', () => {
    assert.equal(estimateRemainingMs({ ...SLOW_RUN, percent: 0 }), Infinity);
    assert.equal(estimateRemainingMs({ ...SLOW_RUN, isSilent: true }), Infinity);
    assert.equal(estimateRemainingMs({ ...SLOW_RUN, percent: 99, elapsedMs: 9_000 }), 9_000);
  });
});

describe('a copy', () => {
  it('is worth it on a slow target, if the job keeps its objective only by the copy', () => {
    assert.ok(shouldCopy(PROPOSAL));
  });

  it('is not worth it if the original is likely to end first', () => {
    assert.equal(shouldCopy({ ...PROPOSAL, originalMs: 900 }), false);
  });

  it('is not worth it if the job keeps the same limits without it', () => {
    assert.equal(shouldCopy({ ...PROPOSAL, timeToObjectiveMs: 9_000 }), false);
    assert.equal(shouldCopy({ ...PROPOSAL, timeToObjectiveMs: 500 }), false);
    const veryLate = { timeToObjectiveMs: -5_000, timeToLateLimitMs: -1 };
    assert.equal(shouldCopy({ ...PROPOSAL, ...veryLate }), false);
  });

  it('is not worth it off the critical path', () => {
    assert.equal(shouldCopy({ ...PROPOSAL, remainingMs: 6_000 }), false);
  });
});

describe('the budget of copies', () => {
  it('is a tenth of the starts of the last minute', () => {
    const budget = new CopyBudget();
    assert.equal(budget.computeLeft(0), 0);
    budget.recordStarts(20, 0);
    assert.equal(budget.computeLeft(0), 2);
    budget.recordCopy(30_000);
    assert.equal(budget.computeLeft(30_000), 1);
    budget.recordStarts(5, 40_000);
    assert.equal(budget.computeLeft(61_000), 0);
    assert.equal(budget.computeLeft(91_000), 1);
    assert.equal(budget.computeLeft(200_000), 0);
  });
});
