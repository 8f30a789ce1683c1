import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { EndAcknowledger } from '../src/end-acknowledger.ts';
import type { TargetRecord } from '../src/target-record.ts';
import { TermHarness } from './term-harness.ts';

function createAcknowledger(): { acknowledger: EndAcknowledger; target: TargetRecord } {
  const harness = new TermHarness();
  const target = harness.addTarget('t1');
  target.bornAt = 1;
  return { acknowledger: new EndAcknowledger(harness.fleet), target };
}

describe('EndAcknowledger', () => {
  it('acknowledges ended runs once the ledger change that records them is stored', () => {
    const { acknowledger, target } = createAcknowledger();
    target.appliedThrough = 2;
    acknowledger.recordApplied(target, 5);
    assert.equal(target.acknowledgedThrough, 0);
    assert.deepEqual(acknowledger.recordWritten(4), []);
    assert.deepEqual(acknowledger.recordWritten(5), [target]);
    assert.equal(target.acknowledgedThrough, 2);
    assert.equal(acknowledger.isWaiting('t1'), false);
  });

  it('acknowledges earlier ended runs while later ones keep arriving', () => {
    const { acknowledger, target } = createAcknowledger();
    for (let end = 1; end <= 5; end += 1) {
      target.appliedThrough = end;
      acknowledger.recordApplied(target, end * 10);
    }
    acknowledger.recordWritten(30);
    assert.equal(target.acknowledgedThrough, 3);
    assert.ok(acknowledger.isWaiting('t1'));
  });

  it('does not acknowledge ended runs of a restarted target for those of its earlier incarnation', () => {
    const { acknowledger, target } = createAcknowledger();
    target.appliedThrough = 9;
    acknowledger.recordApplied(target, 5);
    target.bornAt = 2;
    target.appliedThrough = 3;
    target.acknowledgedThrough = 0;
    acknowledger.recordWritten(5);
    assert.equal(target.acknowledgedThrough, 0);
    acknowledger.recordApplied(target, 7);
    acknowledger.recordWritten(6);
    assert.equal(target.acknowledgedThrough, 0);
    acknowledger.recordWritten(7);
    assert.equal(target.acknowledgedThrough, 3);
  });
});
