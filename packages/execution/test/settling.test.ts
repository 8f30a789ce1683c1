import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { LeasedTarget, LeaseRow, Term } from '@currantgap/ownership';
import { Settling } from '../src/settling.ts';

const LEASE_MS = 4_000;

function createSettling(targets: readonly LeasedTarget[]): Settling {
  const predecessor: LeaseRow = {
    node: 'a',
    incarnation: 'a.1',
    address: 'a:1',
    epoch: 1,
    isReleased: false,
    successor: undefined,
    slackMs: 0,
    expiresAt: undefined,
    vmOrderAgeMs: undefined,
    targets,
  };
  const term: Term = { epoch: 2, token: 9, fenceVersion: 9, predecessor, predecessorAgeMs: 2_000 };
  return new Settling(term, LEASE_MS, 0);
}

describe('work that was accepted in this term', () => {
  it('waits until its pool has reported, or until a predecessor knows that it is deposed', () => {
    const settling = createSettling([{ id: 't1', service: 'kartes' }]);
    assert.equal(settling.isClear('kartes', 0), false);
    assert.ok(settling.isClear('velves', 0));
    assert.ok(settling.isClear('kartes', 1_000));
    settling.record('t1');
    assert.ok(settling.isClear('kartes', 0));
  });
});

describe('work of an earlier term', () => {
  it('waits until each target of its pool has reported', () => {
    const settling = createSettling([{ id: 't1', service: 'kartes' }]);
    assert.equal(settling.isSettled('task', 'kartes', 0), false);
    settling.record('t1');
    assert.ok(settling.isSettled('task', 'kartes', 0));
  });

  it('does not wait for a silent target of another pool', () => {
    const settling = createSettling([{ id: 't1', service: 'velves' }]);
    assert.ok(settling.isSettled('task', 'kartes', 0));
  });

  it('waits for a target that was silent before only with the tasks that it had', () => {
    const settling = createSettling([{ id: 't1', service: 'kartes', tasks: ['task'] }]);
    assert.equal(settling.isSettled('task', 'kartes', 0), false);
    assert.ok(settling.isSettled('other', 'kartes', 0));
  });

  it('waits for a registered target that the predecessor did not name', () => {
    const settling = createSettling([]);
    settling.expect({ id: 't2', service: 'kartes' });
    assert.equal(settling.isSettled('task', 'kartes', 0), false);
  });

  it('may start at the latest when no lease from before can run any more', () => {
    const settling = createSettling([{ id: 't1', service: 'kartes' }]);
    assert.ok(settling.deadline > LEASE_MS);
    assert.ok(settling.isSettled('task', 'kartes', settling.deadline));
    assert.deepEqual(settling.listAwaited(settling.deadline), []);
  });
});
