import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { MemoryStore, StoreFailure } from '@currantgap/standins';
import {
  PageSizer,
  scanRows,
  type RangePage,
  type RangeQuery,
  type StoreFault,
} from '@currantgap/store';
import type { Result } from 'neverthrow';

const KEYS = Array.from({ length: 1_100 }, (_, index) => `k${String(index).padStart(5, '0')}`);

/** A store behind a link on which each row takes `rowMs` and a long response is never complete. */
class SlowLinkStore extends MemoryStore {
  rowMs = 0;
  /** Longest transfer in milliseconds that completes. */
  maximumTransferMs = Infinity;
  /** Number of pages after which the store goes down. */
  pagesBeforeOutage = Infinity;
  readonly pages: number[] = [];

  override async read(query: RangeQuery): Promise<Result<RangePage, StoreFault>> {
    if (this.pages.length === this.pagesBeforeOutage) this.failure = StoreFailure.Down;
    const page = await super.read(query);
    const transferMs = page.isOk() ? page.value.rows.length * this.rowMs : 0;
    if (transferMs > this.maximumTransferMs) {
      this.failure = StoreFailure.Silent;
      const fault = await super.read(query);
      this.failure = StoreFailure.None;
      return fault;
    }
    return page.map((value) => {
      this.pages.push(value.rows.length);
      return { ...value, transferMs };
    });
  }
}

async function createStore(parts: readonly string[]): Promise<SlowLinkStore> {
  const store = new SlowLinkStore();
  for (const part of parts) {
    const puts = KEYS.map((key) => ({ table: 'things', part, key, value: part }));
    await store.commit({ conditions: [], puts, removals: [] });
  }
  return store;
}

describe('scanRows', () => {
  const ranges = ['a', 'b'].map((part) => ({ table: 'things', part }));

  it('reads all pages of all parts, from the version of the first page', async () => {
    const store = await createStore(['a', 'b']);
    const { version } = store;
    const scan = scanRows({ store, ranges, pageSizer: new PageSizer(), isActive: () => true });
    await store.commit({ conditions: [], puts: [], removals: [] });
    const result = await scan;
    assert.equal(result?.rows.length, 2 * KEYS.length);
    assert.equal(result.version, version);
  });

  it('goes on after an outage without reading a page twice', async () => {
    const store = await createStore(['a', 'b']);
    store.pagesBeforeOutage = 3;
    const faults: boolean[] = [];
    const result = await scanRows({
      store,
      ranges,
      pageSizer: new PageSizer(),
      isActive: () => true,
      onFault: (fault) => {
        faults.push(fault !== undefined);
        store.pagesBeforeOutage = Infinity;
        store.failure = StoreFailure.None;
      },
    });
    assert.deepEqual(faults, [true, false]);
    assert.equal(result?.rows.length, 2 * KEYS.length);
    assert.equal(
      store.pages.reduce((sum, rows) => sum + rows, 0),
      2 * KEYS.length,
    );
  });

  it('completes on a link on which no large page ever does', async () => {
    const store = await createStore(['a']);
    store.rowMs = 30;
    store.maximumTransferMs = 300;
    const result = await scanRows({
      store,
      ranges: ranges.slice(0, 1),
      pageSizer: new PageSizer(),
      isActive: () => true,
    });
    assert.equal(result?.rows.length, KEYS.length);
    assert.ok(Math.max(...store.pages.slice(1)) * store.rowMs <= 120);
  });

  it('ends without a result once the rows are not wanted', async () => {
    const store = await createStore(['a']);
    store.failure = StoreFailure.Down;
    let isActive = true;
    const scan = scanRows({
      store,
      ranges,
      pageSizer: new PageSizer(),
      isActive: () => isActive,
      onFault: () => (isActive = false),
    });
    assert.equal(await scan, undefined);
  });
});

describe('PageSizer', () => {
  it('enlarges pages on a fast link, but not because of pages that were not full', () => {
    const pageSizer = new PageSizer();
    const initial = pageSizer.rows;
    pageSizer.recordPage(1, 1);
    assert.equal(pageSizer.rows, initial);
    for (let page = 0; page < 10; page += 1) pageSizer.recordPage(pageSizer.rows, 1);
    assert.equal(pageSizer.rows, 500);
  });

  it('reduces pages that take long to arrive to what arrives in 100 ms', () => {
    const pageSizer = new PageSizer();
    pageSizer.recordPage(16, 200);
    assert.equal(pageSizer.rows, 8);
    pageSizer.recordTimeout();
    pageSizer.recordTimeout();
    assert.equal(pageSizer.rows, 4);
  });
});
