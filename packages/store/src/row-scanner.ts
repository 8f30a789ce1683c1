import { setTimeout as sleep } from 'node:timers/promises';
import { StoreFaultKind, type RangePage, type Row, type Store, type StoreFault } from './store.ts';
import type { PageSizer } from './page-sizer.ts';

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
  /** Parts to read, in this order. */
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
   * Version of the first page. Changes after it may be missing from later pages, so a change feed
   * must be consumed from here.
   */
  readonly version: number;
}

/**
 * Reads all rows of some parts, one page at a time, so that other calls on the same link wait for
 * one page at most. A page that cannot be read is requested again; pages read before it are kept.
 * Returns undefined if the rows are no longer wanted.
 */
export async function scanRows(options: ScanOptions): Promise<ScanResult | undefined> {
  const rows: Row[] = [];
  let version: number | undefined;
  for (const range of options.ranges) {
    let from = '';
    let hasMore = true;
    while (hasMore) {
      const page = await readPage(options, range, from);
      if (page === undefined) return undefined;
      version ??= page.version;
      rows.push(...page.rows);
      hasMore = page.hasMore;
      from = getNextKey(page.rows);
    }
  }
  return { rows, version: version ?? 0 };
}

async function readPage(
  { store, pageSizer, isActive, onFault }: ScanOptions,
  range: TablePart,
  from: string,
): Promise<RangePage | undefined> {
  let isFailing = false;
  while (isActive()) {
    const page = await store.read({ ...range, from, limit: pageSizer.rows });
    if (page.isOk()) {
      pageSizer.recordPage(page.value.rows.length, page.value.transferMs);
      if (isFailing) onFault?.(undefined);
      return isActive() ? page.value : undefined;
    }
    if (page.error.kind === StoreFaultKind.Unknown) pageSizer.recordTimeout();
    if (!isFailing) onFault?.(page.error);
    isFailing = true;
    await sleep(RETRY_DELAY_MS);
  }
  return undefined;
}

/** Gets the smallest key greater than that of the last row. */
function getNextKey(rows: readonly Row[]): string {
  return `${rows.at(-1)?.key ?? ''}\0`;
}
