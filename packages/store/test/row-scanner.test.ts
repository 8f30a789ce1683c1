import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { MemoryStore, StoreFailure } from '@currantgap/standins';
import {
  PageSizer,
  scanRows,
  type RangePage,
  type RangeQuery,
  type StoreFault,
} from '@currantgap/store';
import type { Result } from 'neverthrow';

/** Bandwidth on which one page is read at a time. */
const SLOW_LINK_MBPS = 1;
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

function createStore(parts: readonly string[]): SlowLinkStore {
  const store = new SlowLinkStore();
  for (const part of parts) {
    store.load(KEYS.map((key) => ({ table: 'things', part, key, value: part })));
  }
  return store;
}

describe('scanRows', () => {
  const ranges = ['a', 'b'].map((part) => ({ table: 'things', part }));

  it('reads all pages of all parts, from the lowest version of them', async () => {
    const store = createStore(['a', 'b']);
    const { version } = store;
    const scan = scanRows({
      store,
      ranges,
      pageSizer: new PageSizer(SLOW_LINK_MBPS),
      isActive: () => true,
    });
    await store.commit({ conditions: [], puts: [], removals: [] });
    const result = await scan;
    assert.equal(result?.rows.length, 2 * KEYS.length);
    assert.equal(result.version, version);
  });

  it('goes on after an outage without reading a page twice', async () => {
    const store = createStore(['a']);
    store.pagesBeforeOutage = 3;
    const faults: boolean[] = [];
    const result = await scanRows({
      store,
      ranges: ranges.slice(0, 1),
      pageSizer: new PageSizer(SLOW_LINK_MBPS),
      isActive: () => true,
      onFault: (fault) => {
        faults.push(fault !== undefined);
        store.pagesBeforeOutage = Infinity;
        store.failure = StoreFailure.None;
      },
    });
    assert.deepEqual(faults, [true, false]);
    assert.equal(result?.rows.length, KEYS.length);
    assert.equal(
      store.pages.reduce((sum, rows) => sum + rows, 0),
      KEYS.length,
    );
  });

  it('completes on a link on which no large page ever does', async () => {
    const store = createStore(['a']);
    store.rowMs = 30;
    store.maximumTransferMs = 300;
    const result = await scanRows({
      store,
      ranges: ranges.slice(0, 1),
      pageSizer: new PageSizer(SLOW_LINK_MBPS),
      isActive: () => true,
    });
    assert.equal(result?.rows.length, KEYS.length);
    assert.ok(Math.max(...store.pages.slice(1)) * store.rowMs <= 120);
  });

  it('ends without a result once the rows are not wanted', async () => {
    const store = createStore(['a']);
    store.failure = StoreFailure.Down;
    let isActive = true;
    const scan = scanRows({
      store,
      ranges,
      pageSizer: new PageSizer(SLOW_LINK_MBPS),
      isActive: () => isActive,
      onFault: () => (isActive = false),
    });
    assert.equal(await scan, undefined);
  });
});

/** A store that counts the reads in flight. */
class CountingStore extends MemoryStore {
  inFlight = 0;
  mostInFlight = 0;

  override async read(query: RangeQuery): Promise<Result<RangePage, StoreFault>> {
    this.inFlight += 1;
    this.mostInFlight = Math.max(this.mostInFlight, this.inFlight);
    await sleep(5);
    this.inFlight -= 1;
    return super.read(query);
  }
}

describe('scanRows on a fast link to a slow store', () => {
  it('reads many parts in the time of a few answers', async () => {
    const store = new CountingStore();
    const result = await scanRows({
      store,
      ranges: Array.from({ length: 8 }, (_, index) => ({ table: 'things', part: `p${index}` })),
      pageSizer: new PageSizer(1_000),
      isActive: () => true,
    });
    assert.deepEqual(result?.rows, []);
    assert.equal(store.mostInFlight, 8);
  });
});

describe('PageSizer', () => {
  it('plans one small page at a time on a slow link and many on a fast one', () => {
    const slow = new PageSizer(1.4);
    assert.deepEqual([slow.concurrency, slow.rows], [1, 7]);
    assert.equal(new PageSizer(140).concurrency, 12);
    assert.ok(new PageSizer(Infinity).concurrency <= 2, 'an unknown link may be slow');
  });

  it('enlarges the window on a fast link, but not because of pages that were not full', () => {
    const pageSizer = new PageSizer(10);
    const { concurrency } = pageSizer;
    pageSizer.recordPage(16, 1, 1);
    assert.equal(pageSizer.concurrency, concurrency);
    for (let page = 0; page < 20; page += 1) pageSizer.recordPage(16, 16, 1);
    assert.equal(pageSizer.concurrency, 12);
    assert.ok(pageSizer.rows > 16);
  });

  it('reduces the window to what arrives in 100 ms, and after answers that did not arrive', () => {
    const pageSizer = new PageSizer(28);
    assert.equal(pageSizer.concurrency, 9);
    pageSizer.recordPage(16, 16, 300);
    assert.equal(pageSizer.concurrency, 3);
    for (let timeout = 0; timeout < 10; timeout += 1) pageSizer.recordTimeout();
    assert.deepEqual([pageSizer.concurrency, pageSizer.rows], [1, 4]);
  });

  it('lets no more pages into flight than planned, over all scans', async () => {
    const pageSizer = new PageSizer(28);
    const { concurrency } = pageSizer;
    let acquired = 0;
    for (let page = 0; page < 2 * concurrency; page += 1) {
      void pageSizer.acquire().then(() => (acquired += 1));
    }
    await sleep(1);
    assert.equal(acquired, concurrency);
    for (let page = 0; page < concurrency; page += 1) pageSizer.release();
    await sleep(1);
    assert.equal(acquired, 2 * concurrency);
  });
});
