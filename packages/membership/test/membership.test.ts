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

function createSeat(name: string, incarnation = `${name}.1`, address = `${name}:1`): Member {
  return { name, address, dataCentre: 'riga', incarnation };
}

function createView(...names: string[]): View {
  return names.reduce((view, name) => planJoin(view, createSeat(name)).next, EMPTY_VIEW);
}

describe('a majority', () => {
  it('is more than half, the first seat breaking a tie', () => {
    const view = createView('a', 'b', 'c', 'd');
    assert.ok(hasMajority(view, new Set(['a.1', 'b.1'])));
    assert.equal(hasMajority(view, new Set(['b.1', 'c.1'])), false);
    assert.ok(hasMajority(view, new Set(['b.1', 'c.1', 'd.1'])));
  });
});

describe('a view move', () => {
  it('supersedes a predecessor at the same address without promises', () => {
    const move = planJoin(createView('a', 'b'), createSeat('b', 'b.2'));
    assert.equal(move.kind, ViewChangeKind.Supersede);
    assert.equal(requiresPromise(move), false);
    assert.equal(move.next.uncleanEpoch, move.next.epoch);
  });

  it('needs promises when a seat changes its address', () => {
    const move = planJoin(createView('a', 'b'), createSeat('b', 'b.2', 'elsewhere:1'));
    assert.equal(move.kind, ViewChangeKind.Join);
    assert.ok(requiresPromise(move));
  });

  it('leaves nothing to settle after a planned departure', () => {
    const view = createView('a', 'b');
    assert.equal(planRemoval(view, 'b.1', ViewChangeKind.Leave)?.next.uncleanEpoch, 0);
    assert.equal(planRemoval(view, 'b.1', ViewChangeKind.DeclareDead)?.next.uncleanEpoch, 3);
  });
});

describe('the view store', () => {
  const rows = new RowNames('production');

  it('refuses a move when a change was accepted meanwhile', async () => {
    const table = new MemoryTable();
    const store = new ViewStore(table, rows);
    const stored = (await store.read())._unsafeUnwrap();
    await table.apply({
      nonce: 'change',
      conditions: [],
      writes: [{ key: rows.head, value: formatHead({ sequence: 1, documentHash: '' }) }],
      witness: rows.head,
    });
    const moved = await store.write(stored, planJoin(stored.view, createSeat('a')).next);
    assert.ok(moved.isErr());
  });

  it('records the head of the change log with each move', async () => {
    const table = new MemoryTable();
    const store = new ViewStore(table, rows);
    await table.apply({
      nonce: 'change',
      conditions: [],
      writes: [{ key: rows.head, value: formatHead({ sequence: 7, documentHash: '' }) }],
      witness: rows.head,
    });
    const stored = (await store.read())._unsafeUnwrap();
    const moved = await store.write(stored, planJoin(stored.view, createSeat('a')).next);
    assert.equal(moved._unsafeUnwrap().sequence, 7);
  });

  it('lets only one of two racing moves take effect', async () => {
    const store = new ViewStore(new MemoryTable(), rows);
    const stored = (await store.read())._unsafeUnwrap();
    const results = await Promise.all(
      ['a', 'b'].map(async (name) =>
        store.write(stored, planJoin(stored.view, createSeat(name)).next),
      ),
    );
    assert.equal(results.filter((result) => result.isOk()).length, 1);
  });

  it('reports an unreadable table', async () => {
    const table = new MemoryTable();
    table.failure = TableFailure.Down;
    assert.ok((await new ViewStore(table, rows).read()).isErr());
  });
});

describe('a lease watch', () => {
  it('lets a lease lapse only after it was itself watched unchanged for the whole time', () => {
    const watch = new LeaseWatch(6_000);
    watch.observe('a', 1, 0);
    watch.observe('a', 1, 5_999);
    assert.equal(watch.hasLapsed('a', 5_999), false);
    assert.ok(watch.hasLapsed('a', 6_000));
    watch.observe('a', 2, 6_000);
    assert.equal(watch.hasLapsed('a', 6_001), false);
  });

  it('starts anew after the table was away', () => {
    const watch = new LeaseWatch(6_000);
    watch.observe('a', 1, 0);
    watch.reset();
    watch.observe('a', 1, 5_000);
    assert.equal(watch.hasLapsed('a', 7_000), false);
  });
});

describe('a promise', () => {
  it('ends vouching under its epoch and earlier ones', () => {
    const book = new PromisedEpoch();
    assert.ok(book.promise(3, 3));
    assert.equal(book.canConfirm(3), false);
    assert.ok(book.canConfirm(4));
  });

  it('is refused for an epoch that is over', () => {
    assert.equal(new PromisedEpoch().promise(2, 3), false);
  });
});
