import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MemoryStore, StoreFailure, waitUntil } from '@currantgap/standins';
import { Follower, readAll } from '@currantgap/store';

/** The changes after the last answer are made in this pause. */
const PAUSE_MS = 100;
const ROW = { table: 'things', part: '' };

async function put(store: MemoryStore, ...keys: string[]): Promise<void> {
  const puts = keys.map((key) => ({ ...ROW, key, value: key }));
  await store.commit({ conditions: [], puts, removals: [] });
}

describe('a follower', () => {
  it('reads the whole table, then its changes, and the whole again when history is gone', async () => {
    const store = new MemoryStore();
    await put(store, 'a');
    const seen: [string, boolean][] = [];
    const follower = new Follower({
      table: ROW.table,
      parts: [ROW.part],
      store,
      pauseMs: PAUSE_MS,
      onRows: (rows, isWhole) => seen.push([rows.map(({ key }) => key).join(), isWhole]),
    });
    void follower.run();
    await waitUntil(() => seen.length === 1);
    await put(store, 'b');
    await waitUntil(() => seen.length === 2);
    await put(store, 'c');
    store.dropHistory();
    await waitUntil(() => seen.length === 3);
    follower.stop();
    await put(store, 'end');
    assert.deepEqual(seen, [
      ['a', true],
      ['b', false],
      ['a,b,c', true],
    ]);
  });

  it('goes on after an outage without losing a change', async () => {
    const store = new MemoryStore();
    await put(store, 'a');
    const seen: string[] = [];
    const faults: boolean[] = [];
    const follower = new Follower({
      table: ROW.table,
      parts: [ROW.part],
      store,
      pauseMs: 0,
      onRows: (rows) => seen.push(...rows.map(({ key }) => key)),
      onFault: (fault) => faults.push(fault !== undefined),
    });
    void follower.run();
    await waitUntil(() => seen.includes('a'));
    await put(store, 'b');
    store.failure = StoreFailure.Down;
    await waitUntil(() => faults.includes(true) || seen.includes('b'));
    store.failure = StoreFailure.None;
    await put(store, 'c');
    await waitUntil(() => seen.includes('c'));
    follower.stop();
    await put(store, 'end');
    assert.deepEqual([...new Set(seen)].slice(0, 3), ['a', 'b', 'c']);
  });
});

describe('a whole read', () => {
  it('goes through all pages', async () => {
    const store = new MemoryStore();
    const keys = Array.from({ length: 1_100 }, (_, index) => `k${String(index).padStart(5, '0')}`);
    await put(store, ...keys);
    const page = await readAll(store, 'things', '');
    assert.equal(page._unsafeUnwrap().rows.length, 1_100);
  });
});
