import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MemoryStore, StoreFailure, waitUntil } from '@currantgap/standins';
import {
  FeedConsumer,
  PageSizer,
  type FeedPage,
  type FeedQuery,
  type RangePage,
  type RangeQuery,
  type StoreFault,
} from '@currantgap/store';
import type { Result } from 'neverthrow';

/** Long enough to make the test's changes between a response and the next poll. */
const PAUSE_MS = 100;
/** Milliseconds in which a change that need not wait for anything is passed on. */
const PATIENCE_MS = 3_000;
const ROW = { table: 'things', part: '' };

async function put(store: MemoryStore, ...keys: string[]): Promise<void> {
  const puts = keys.map((key) => ({ ...ROW, key, value: key }));
  await store.commit({ conditions: [], puts, removals: [] });
}

/** Changes a row and drops the history in the pause after a page; returns the time right after it. */
async function dropHistory(store: MemoryStore, seen: readonly string[]): Promise<number> {
  const marker = `before-${seen.length}`;
  await put(store, marker);
  await waitUntil(() => seen.includes(marker));
  await put(store, 'missed');
  store.dropHistory();
  return performance.now();
}

/** A store whose reads of rows are answered only when the test says so. */
class HeldStore extends MemoryStore {
  isHeld = false;
  /** Answers a read that is held, with another page if one is given. */
  readonly held: ((page?: Result<RangePage, StoreFault>) => void)[] = [];
  isPollHeld = false;
  /** Answers a poll with rows that is held. */
  readonly heldPolls: (() => void)[] = [];
  /** Reads that return only the version. */
  versionReads = 0;

  override async read(query: RangeQuery): Promise<Result<RangePage, StoreFault>> {
    const page = await super.read(query);
    if (query.from !== '') this.versionReads += 1;
    if (this.isHeld && query.from === '') {
      const other = await new Promise<Result<RangePage, StoreFault> | undefined>((resolve) =>
        this.held.push(resolve),
      );
      return other ?? page;
    }
    return page;
  }

  override async poll(query: FeedQuery): Promise<Result<FeedPage, StoreFault>> {
    const page = await super.poll(query);
    if (this.isPollHeld && page.isOk() && page.value.rows.length > 0) {
      await new Promise<void>((resolve) => this.heldPolls.push(resolve));
    }
    return page;
  }

  /** Answers the oldest read that is held. */
  async release(): Promise<void> {
    await waitUntil(() => this.held.length > 0);
    this.held.shift()?.();
  }
}

describe('FeedConsumer', () => {
  describe('when history is lost', () => {
    // Guards against new submissions that are not known, nor started, until all open ones are read.
    it('passes changes on while it reads a new snapshot, in which the newer rows count', async (context) => {
      const store = new HeldStore();
      await put(store, 'a', 'b');
      const seen: [string, boolean][] = [];
      const consumer = new FeedConsumer({
        table: ROW.table,
        parts: [ROW.part],
        store,
        pageSizer: new PageSizer(1_000),
        pauseMs: PAUSE_MS,
        onRows: (rows, isSnapshot) => seen.push([rows.map(({ key }) => key).join(), isSnapshot]),
      });
      context.after(() => {
        consumer.stop();
      });
      void consumer.run();
      await waitUntil(() => seen.length === 1);
      store.isHeld = true;
      await put(store, 'missed');
      store.dropHistory();
      await waitUntil(() => store.held.length === 1);
      await put(store, 'c');
      await store.commit({ conditions: [], puts: [], removals: [{ ...ROW, key: 'a' }] });
      await waitUntil(() => seen.some(([keys]) => keys.includes('c')), PATIENCE_MS);
      await waitUntil(() => seen.some(([keys]) => keys.endsWith('a')), PATIENCE_MS);
      await store.release();
      await waitUntil(() => seen.some(([, isSnapshot], index) => index > 0 && isSnapshot));
      consumer.stop();
      assert.deepEqual(seen.at(-1), ['b,missed,c', true]);
    });

    it('is current up to the lost changes until they are read, also when more are lost', async (context) => {
      const store = new HeldStore();
      const current: number[] = [];
      const seen: string[] = [];
      const consumer = new FeedConsumer({
        table: ROW.table,
        parts: [ROW.part],
        store,
        pageSizer: new PageSizer(1_000),
        pauseMs: PAUSE_MS,
        onRows: (rows) => seen.push(...rows.map(({ key }) => key)),
        onCurrent: (currentAt) => current.push(currentAt),
      });
      context.after(() => {
        consumer.stop();
      });
      void consumer.run();
      await waitUntil(() => consumer.currentAt !== undefined);
      store.isHeld = true;
      const droppedAt = await dropHistory(store, seen);
      await waitUntil(() => store.held.length === 1);
      const droppedAgainAt = await dropHistory(store, seen);
      await waitUntil(() => store.versionReads === 2);
      assert.ok((consumer.currentAt ?? Infinity) <= droppedAt);
      await store.release();
      await waitUntil(() => store.held.length === 1);
      assert.ok((consumer.currentAt ?? 0) > droppedAt, 'the first loss is read');
      assert.ok((consumer.currentAt ?? Infinity) <= droppedAgainAt, 'the second is not');
      await store.release();
      await waitUntil(() => (consumer.currentAt ?? 0) > droppedAgainAt);
      consumer.stop();
      assert.deepEqual(
        current,
        [...current].sort((left, right) => left - right),
      );
    });

    // Guards against an entry that flaps: what a scan has read newer is not undone by a page sent before it.
    it('passes on no row that the snapshot before it holds newer, or as deleted', async (context) => {
      const store = new HeldStore();
      await put(store, 'a');
      const seen: string[] = [];
      const consumer = new FeedConsumer({
        table: ROW.table,
        parts: [ROW.part],
        store,
        pageSizer: new PageSizer(1_000),
        pauseMs: PAUSE_MS,
        onRows: (rows) => seen.push(...rows.map(({ key, value }) => `${key}=${value}`)),
      });
      context.after(() => {
        consumer.stop();
      });
      void consumer.run();
      await waitUntil(() => seen.length === 1);
      store.isHeld = true;
      store.isPollHeld = true;
      await put(store, 'missed');
      store.dropHistory();
      await waitUntil(() => store.held.length === 1);
      const puts = [{ ...ROW, key: 'a', value: 'old' }];
      await store.commit({ conditions: [], puts, removals: [] });
      await waitUntil(() => store.heldPolls.length === 1);
      await store.commit({
        conditions: [],
        puts: [{ ...ROW, key: 'a', value: 'new' }],
        removals: [],
      });
      store.isHeld = false;
      store.held.shift()?.(await store.read({ ...ROW, from: '' }));
      await waitUntil(() => seen.includes('a=new'));
      store.isPollHeld = false;
      store.heldPolls.shift()?.();
      await put(store, 'end');
      await waitUntil(() => seen.includes('end=end'));
      assert.ok(!seen.includes('a=old'));
    });
  });

  it('delivers a snapshot, then changes, and a new snapshot when the feed history is lost', async () => {
    const store = new MemoryStore();
    await put(store, 'a');
    const seen: [string, boolean][] = [];
    const consumer = new FeedConsumer({
      table: ROW.table,
      parts: [ROW.part],
      store,
      pageSizer: new PageSizer(1_000),
      pauseMs: PAUSE_MS,
      onRows: (rows, isSnapshot) => seen.push([rows.map(({ key }) => key).join(), isSnapshot]),
    });
    void consumer.run();
    await waitUntil(() => seen.length === 1);
    await put(store, 'b');
    await waitUntil(() => seen.length === 2);
    await put(store, 'c');
    store.dropHistory();
    await waitUntil(() => seen.length === 3);
    consumer.stop();
    await put(store, 'end');
    assert.deepEqual(seen, [
      ['a', true],
      ['b', false],
      ['a,b,c', true],
    ]);
  });

  it('loses no change during a store outage', async () => {
    const store = new MemoryStore();
    await put(store, 'a');
    const seen: string[] = [];
    const faults: boolean[] = [];
    const consumer = new FeedConsumer({
      table: ROW.table,
      parts: [ROW.part],
      store,
      pageSizer: new PageSizer(1_000),
      pauseMs: 0,
      onRows: (rows) => seen.push(...rows.map(({ key }) => key)),
      onLost: () => faults.push(true),
    });
    void consumer.run();
    await waitUntil(() => seen.includes('a'));
    await put(store, 'b');
    store.failure = StoreFailure.Down;
    await waitUntil(() => faults.includes(true) || seen.includes('b'));
    store.failure = StoreFailure.None;
    await put(store, 'c');
    await waitUntil(() => seen.includes('c'));
    consumer.stop();
    await put(store, 'end');
    assert.deepEqual([...new Set(seen)].slice(0, 3), ['a', 'b', 'c']);
  });
});
