import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ResponseTimes } from '../src/response-times.ts';

function learn(times: readonly number[]): number {
  const responses = new ResponseTimes();
  for (const elapsedMs of times) responses.record(elapsedMs);
  return responses.limitMs;
}

describe('the time after which a response is overdue', () => {
  it('is the longest one before anything is known', () => {
    assert.equal(learn([]), 700);
  });

  it('is a few times the usual response time, and never so short that jitter counts', () => {
    assert.equal(learn(Array<number>(20).fill(8)), 100);
    const slow = learn(Array.from({ length: 50 }, (_, index) => 120 + (index % 2) * 40));
    assert.ok(slow > 200 && slow < 300, `${slow}`);
  });

  it('grows with a slow link and falls again afterwards', () => {
    const slow = Array<number>(10).fill(400);
    assert.ok(learn(slow) >= 400);
    assert.equal(learn([...slow, ...Array<number>(60).fill(10)]), 100);
  });
});
