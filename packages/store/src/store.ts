import type { Result } from 'neverthrow';

/** Names one row. */
export interface RowKey {
  readonly table: string;
  /** Rows of one part can change in one transaction. */
  readonly part: string;
  readonly key: string;
}

/** A row as it was read. */
export interface Row extends RowKey {
  readonly value: string;
  /** Version of the transaction that wrote it; 0 where there is no row. */
  readonly version: number;
  readonly isDeleted: boolean;
}

/** Why a call to the store did not succeed. */
export enum StoreFaultKind {
  /** Nothing was done; the call may be repeated. */
  Refused = 'refused',
  /** No answer: the call may have been done, or may still be. */
  Unknown = 'unknown',
  /** A condition did not hold; nothing was done. */
  Conflict = 'conflict',
  /** The history asked for is gone; read the whole table again. */
  HistoryGone = 'history-gone',
  /** The call itself is wrong; repeating it is no use. */
  Invalid = 'invalid',
}

/** A failed call. */
export interface StoreFault {
  readonly kind: StoreFaultKind;
  readonly message: string;
  /** Present rows of a conflict's conditions. */
  readonly rows: readonly Row[];
}

/** A change of rows that happens as a whole or not at all. */
export interface Transaction {
  /** Rows with the version that each must have; 0 means that it must not exist. */
  readonly conditions: readonly (RowKey & { readonly version: number })[];
  readonly puts: readonly (RowKey & { readonly value: string })[];
  readonly removals: readonly RowKey[];
}

/** Changed rows in order. */
export interface FeedPage {
  readonly rows: readonly Row[];
  /** Version to go on from. */
  readonly version: number;
}

/** What to read of a table. */
export interface RangeQuery {
  readonly table: string;
  readonly part: string;
  readonly from?: string;
  readonly limit?: number;
}

/** Rows of one moment. */
export interface RangePage {
  readonly rows: readonly Row[];
  readonly hasMore: boolean;
  readonly version: number;
}

/** What to wait for in a feed. */
export interface FeedQuery {
  readonly table: string;
  readonly after: number;
  readonly waitMs: number;
}

/** The platform's transactional store: linearizable, one rising version. */
export abstract class Store {
  /** The store's steady clock in milliseconds, as last read; undefined before the first answer. */
  abstract get now(): number | undefined;
  /** Applies a transaction and returns its version. */
  abstract commit(transaction: Transaction): Promise<Result<number, StoreFault>>;
  /** Reads rows of one part in key order. */
  abstract read(query: RangeQuery): Promise<Result<RangePage, StoreFault>>;
  /** Waits for changes of a table after a version. */
  abstract poll(query: FeedQuery): Promise<Result<FeedPage, StoreFault>>;
}

/** Reads all rows of a part, page after page; the version is that of the first page. */
export async function readAll(
  store: Store,
  table: string,
  part: string,
): Promise<Result<RangePage, StoreFault>> {
  const first = await store.read({ table, part });
  if (first.isErr()) return first;
  const rows = [...first.value.rows];
  let { hasMore } = first.value;
  while (hasMore) {
    // The smallest key after the last one read.
    const from = `${rows.at(-1)?.key ?? ''}\0`;
    const next = await store.read({ table, part, from });
    if (next.isErr()) return next;
    rows.push(...next.value.rows);
    hasMore = next.value.hasMore;
  }
  return first.map(({ version }) => ({ rows, hasMore: false, version }));
}
