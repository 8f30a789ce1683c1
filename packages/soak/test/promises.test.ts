import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { drawPlan, findBroken, type Sent } from '@currantgap/soak';
import { RunBook, type RunRecord } from '@currantgap/standins';

const ID = '00000000000000aa';
const SENT: Sent = {
  id: ID,
  counts: [1, 1],
  isRefused: false,
  cancelledAt: undefined,
  state: 'completed',
};

function createBook(...runs: Partial<RunRecord>[]): RunBook {
  const book = new RunBook();
  for (const [run, changes] of runs.entries()) {
    book.runs.push({
      task: `${ID}.0.0.0`,
      run,
      target: 't1',
      startedAt: 0,
      endedAt: 100,
      how: 'done',
      isNoted: true,
      ...changes,
    });
  }
  return book;
}

const SECOND = { task: `${ID}.0.1.0`, startedAt: 100, endedAt: 200 };

describe('the promises of a soak', () => {
  it('are kept by a submission whose steps ran once, one after the other', () => {
    assert.deepEqual(findBroken([SENT], createBook({}, SECOND)), []);
  });

  it('are broken by each of the ways in which a submission can go wrong', () => {
    const cases: [Partial<Sent>, RunBook, RegExp][] = [
      [{}, createBook({}), /completed with 1 of 2/],
      [{}, createBook({}, { startedAt: 50 }, SECOND), /ran twice/],
      [{}, createBook({}, { ...SECOND, startedAt: 90 }), /too early/],
      [{ isRefused: true, state: undefined }, createBook({}), /refused and ran/],
      [{ state: 'pending' }, createBook(), /accepted and is pending/],
      [{ state: undefined }, createBook(), /accepted and is not known/],
      [{ state: 'cancelled', cancelledAt: -5_000 }, createBook({}), /after its cancel/],
    ];
    for (const [changes, book, pattern] of cases) {
      const broken = findBroken([{ ...SENT, ...changes }], book);
      assert.ok(
        broken.some((line) => pattern.test(line)),
        `${String(pattern)} in ${broken.join()}`,
      );
    }
  });
});

describe('the plan of a seed', () => {
  it('is the same each time, and another seed has another', () => {
    assert.deepEqual(drawPlan(7), drawPlan(7));
    assert.notDeepEqual(drawPlan(7), drawPlan(8));
  });
});
