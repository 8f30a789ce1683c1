import type { Result } from 'neverthrow';
import { setTimeout as sleep } from 'node:timers/promises';
import type { PageSizer } from './page-sizer.ts';
import { StoreFaultKind, type RangePage, type Row, type Store, type StoreFault } from './store.ts';

/** Milliseconds before a page that could not be read is requested again. */
const RETRY_DELAY_MS = 100;

/** A part of a table. */
export interface TablePart {
  readonly table: string;
  readonly part: string;
}

/** Options of a scan. */
export interface ScanOptions {
  readonly store: Store;
  readonly ranges: readonly TablePart[];
  readonly pageSizer: PageSizer;
  /** Whether the rows are still wanted; the scan ends early once they are not. */
  readonly isActive: () => boolean;
  /** Called with the fault when a page cannot be read, and with undefined when one can again. */
  readonly onFault?: (fault: StoreFault | undefined) => void;
}

/** Result of a scan. */
export interface ScanResult {
  readonly rows: readonly Row[];
  /**
   * Lowest version of all pages. Changes after it may be missing from some of them, so a change feed
   * must be consumed from here.
   */
  readonly version: number;
  /** Earliest monotonic time at which the store sent one of the pages, in milliseconds. */
  readonly currentAt: number;
}

/**
 * Reads all rows of some parts in pages, as many at a time as the link carries without delaying other
 * calls. A page that cannot be read is requested again; the other pages are kept. Returns undefined
 * if the rows are no longer wanted.
 */
export async function scanRows(options: ScanOptions): Promise<ScanResult | undefined> {
  const pages: RangePage[] = [];
  await Promise.all(options.ranges.map(async (range) => readRange(options, range, pages)));
  if (!options.isActive()) return undefined;
  return {
    rows: pages.flatMap(({ rows }) => rows),
    version: Math.min(...pages.map(({ version }) => version)),
    currentAt: Math.min(...pages.map(({ currentAt }) => currentAt)),
  };
}

async function readRange(
  options: ScanOptions,
  range: TablePart,
  pages: RangePage[],
): Promise<void> {
  let from = '';
  for (;;) {
    const page = await readPage(options, range, from);
    if (page === undefined) return;
    pages.push(page);
    if (!page.hasMore) return;
    // The smallest key greater than that of the last row.
    from = `${page.rows.at(-1)?.key ?? ''}\0`;
  }
}

async function readPage(
  options: ScanOptions,
  range: TablePart,
  from: string,
): Promise<RangePage | undefined> {
  const { pageSizer, isActive, onFault } = options;
  let isFailing = false;
  while (isActive()) {
    await pageSizer.acquire();
    const page = await requestPage(options, range, from);
    if (page.isErr() !== isFailing) onFault?.(page.isErr() ? page.error : undefined);
    isFailing = page.isErr();
    pageSizer.release();
    if (page.isOk()) return page.value;
    await sleep(RETRY_DELAY_MS);
  }
  return undefined;
}

async function requestPage(
  { store, pageSizer }: ScanOptions,
  range: TablePart,
  from: string,
): Promise<Result<RangePage, StoreFault>> {
  const { rows } = pageSizer;
  const start = pageSizer.beginPage();
  const page = await store.read({ ...range, from, limit: rows });
  if (page.isOk()) pageSizer.recordPage(rows, page.value.rows.length, page.value.transferMs, start);
  else if (page.error.kind === StoreFaultKind.Unknown) pageSizer.recordTimeout();
  return page;
}
