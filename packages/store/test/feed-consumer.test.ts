import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MemoryStore, StoreFailure, waitUntil } from '@currantgap/standins';
import { FeedConsumer, PageSizer } from '@currantgap/store';

/** Long enough to make the test's changes between a response and the next poll. */
const PAUSE_MS = 100;
const ROW = { table: 'things', part: '' };

async function put(store: MemoryStore, ...keys: string[]): Promise<void> {
  const puts = keys.map((key) => ({ ...ROW, key, value: key }));
  await store.commit({ conditions: [], puts, removals: [] });
}

describe('FeedConsumer', () => {
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
