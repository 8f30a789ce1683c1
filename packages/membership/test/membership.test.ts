import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  EMPTY_VIEW,
  formatHead,
  hasMajority,
  LeaseWatch,
  ViewChangeKind,
  planJoin,
  planRemoval,
  PromisedEpoch,
  requiresPromise,
  RowNames,
  ViewStore,
  type Member,
  type View,
} from '@currantgap/membership';
import { MemoryTable, TableFailure } from '@currantgap/standins';

function createMember(name: string, incarnation = `${name}.1`, address = `${name}:1`): Member {
  return { name, address, dataCentre: 'riga', incarnation };
}

function createView(...names: string[]): View {
  return names.reduce((view, name) => planJoin(view, createMember(name)).next, EMPTY_VIEW);
}

describe('a majority', () => {
  it('is more than half of the members, or half including the first member', () => {
    const view = createView('a', 'b', 'c', 'd');
    assert.ok(hasMajority(view, new Set(['a.1', 'b.1'])));
    assert.equal(hasMajority(view, new Set(['b.1', 'c.1'])), false);
    assert.ok(hasMajority(view, new Set(['b.1', 'c.1', 'd.1'])));
  });
});

describe('a view change', () => {
  it('requires no promises to supersede a predecessor at the same address', () => {
    const change = planJoin(createView('a', 'b'), createMember('b', 'b.2'));
    assert.equal(change.kind, ViewChangeKind.Supersede);
    assert.equal(requiresPromise(change), false);
    assert.equal(change.next.uncleanEpoch, change.next.epoch);
  });

  it('requires promises when a member changes its address', () => {
    const change = planJoin(createView('a', 'b'), createMember('b', 'b.2', 'elsewhere:1'));
    assert.equal(change.kind, ViewChangeKind.Join);
    assert.ok(requiresPromise(change));
  });

  it('requires no reclaim after a planned leave', () => {
    const view = createView('a', 'b');
    assert.equal(planRemoval(view, 'b.1', ViewChangeKind.Leave)?.next.uncleanEpoch, 0);
    assert.equal(planRemoval(view, 'b.1', ViewChangeKind.DeclareDead)?.next.uncleanEpoch, 3);
  });
});

describe('the view store', () => {
  const rows = new RowNames('production');

  it('refuses a view if a change was accepted after the read', async () => {
    const table = new MemoryTable();
    const store = new ViewStore(table, rows);
    const stored = (await store.read())._unsafeUnwrap();
    await table.apply({
      nonce: 'change',
      conditions: [],
      writes: [{ key: rows.head, value: formatHead({ sequence: 1, documentHash: '' }) }],
      witness: rows.head,
    });
    const written = await store.write(stored, planJoin(stored.view, createMember('a')).next);
    assert.ok(written.isErr());
  });

  it('records the head of the change log in each view', async () => {
    const table = new MemoryTable();
    const store = new ViewStore(table, rows);
    await table.apply({
      nonce: 'change',
      conditions: [],
      writes: [{ key: rows.head, value: formatHead({ sequence: 7, documentHash: '' }) }],
      witness: rows.head,
    });
    const stored = (await store.read())._unsafeUnwrap();
    const written = await store.write(stored, planJoin(stored.view, createMember('a')).next);
    assert.equal(written._unsafeUnwrap().sequence, 7);
  });

  it('accepts only one of two concurrent writes', async () => {
    const store = new ViewStore(new MemoryTable(), rows);
    const stored = (await store.read())._unsafeUnwrap();
    const results = await Promise.all(
      ['a', 'b'].map(async (name) =>
        store.write(stored, planJoin(stored.view, createMember(name)).next),
      ),
    );
    assert.equal(results.filter((result) => result.isOk()).length, 1);
  });

  it('fails to read when the table is unavailable', async () => {
    const table = new MemoryTable();
    table.failure = TableFailure.Down;
    assert.ok((await new ViewStore(table, rows).read()).isErr());
  });
});

describe('a lease watch', () => {
  it('expires a lease only after observing it unchanged for the full lease time', () => {
    const watch = new LeaseWatch(6_000);
    watch.observe('a', 1, 0);
    watch.observe('a', 1, 5_999);
    assert.equal(watch.hasExpired('a', 5_999), false);
    assert.ok(watch.hasExpired('a', 6_000));
    watch.observe('a', 2, 6_000);
    assert.equal(watch.hasExpired('a', 6_001), false);
  });

  it('restarts the lease time after a reset', () => {
    const watch = new LeaseWatch(6_000);
    watch.observe('a', 1, 0);
    watch.reset();
    watch.observe('a', 1, 5_000);
    assert.equal(watch.hasExpired('a', 7_000), false);
  });
});

describe('a promise', () => {
  it('stops the member from confirming its epoch and earlier ones', () => {
    const promisedEpoch = new PromisedEpoch();
    assert.ok(promisedEpoch.promise(3, 3));
    assert.equal(promisedEpoch.canConfirm(3), false);
    assert.ok(promisedEpoch.canConfirm(4));
  });

  it('is refused for an epoch before the known one', () => {
    assert.equal(new PromisedEpoch().promise(2, 3), false);
  });
});
