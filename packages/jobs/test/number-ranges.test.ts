import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { NumberRanges } from '@currantgap/jobs';

describe('NumberRanges', () => {
  it('holds what was added, in any order, also after it was encoded', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(40)), (numbers) => {
        const [ranges, copy, expected] = [new NumberRanges(), new NumberRanges(), new Set(numbers)];
        for (const number of numbers) ranges.add(number);
        copy.addEncoded(ranges.encode());
        for (const set of [ranges, copy]) {
          assert.equal(set.size, expected.size);
          for (let number = 0; number <= 41; number += 1)
            assert.equal(set.has(number), expected.has(number));
        }
      }),
    );
  });

  it('encodes adjacent numbers as one range', () => {
    const ranges = new NumberRanges();
    for (const number of [2, 0, 1, 5]) ranges.add(number);
    assert.deepEqual(ranges.encode(), [[0, 2], 5]);
  });
});
