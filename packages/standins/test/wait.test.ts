import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { waitUntil } from '@currantgap/standins';

describe('waitUntil', () => {
  it('returns once the condition holds', async () => {
    let polls = 0;
    await waitUntil(() => (polls += 1) > 3);
    assert.equal(polls, 4);
  });

  it('throws, rather than wait for ever, if the condition never holds', async () => {
    await assert.rejects(
      waitUntil(() => false, 20),
      /does not hold after 20 ms/,
    );
  });
});
