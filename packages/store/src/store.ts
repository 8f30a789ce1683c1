import type { Result } from 'neverthrow';
import type { SeenVersions } from './seen-versions.ts';

/** Identifies one row. */
export interface RowKey {
  readonly table: string;
  /** Part of the table (its partition key); a transaction can change rows of one part only. */
  readonly part: string;
  readonly key: string;
}

/** A row as read from the store. */
export interface Row extends RowKey {
  readonly value: string;
  /** Version of the transaction that wrote the row; 0 if the row does not exist. */
  readonly version: number;
  readonly isDeleted: boolean;
}

/** Why a call to the store failed. */
export enum StoreFaultKind {
  /** The store did not apply the call; it may be retried. */
  Refused = 'refused',
  /** No response: the call may have been applied, or may be applied later. */
  Unknown = 'unknown',
  /** A condition did not hold; the transaction was not applied. */
  Conflict = 'conflict',
  /** The feed no longer has the requested history; the table must be read again. */
  HistoryGone = 'history-gone',
  /** The request is malformed; a retry would fail again. */
  Invalid = 'invalid',
}

/** A failed call to the store. */
export interface StoreFault {
  readonly kind: StoreFaultKind;
  readonly message: string;
  /** After a conflict, the current rows of the conditions. */
  readonly rows: readonly Row[];
}

/** Row changes that are applied atomically. */
export interface Transaction {
  /** Rows and the version that each must have; 0 means that the row must not exist. */
  readonly conditions: readonly (RowKey & { readonly version: number })[];
  readonly puts: readonly (RowKey & { readonly value: string })[];
  readonly removals: readonly RowKey[];
}

/** Changed rows in the order of their versions. */
export interface FeedPage {
  readonly rows: readonly Row[];
  /** Version to pass as `after` to the next poll. */
  readonly version: number;
  /** Monotonic time up to which the rows are complete, in milliseconds: when the store sent them. */
  readonly currentAt: number;
}

/** A range of rows in one part of a table. */
export interface RangeQuery {
  readonly table: string;
  readonly part: string;
  /** First key of the range, inclusive. */
  readonly from?: string;
  /** Maximum number of rows per page; the store's own limit by default. */
  readonly limit?: number;
}

/** Rows read at one version. */
export interface RangePage {
  readonly rows: readonly Row[];
  readonly hasMore: boolean;
  readonly version: number;
  /** Monotonic time at which the store sent the rows, in milliseconds. */
  readonly currentAt: number;
  /** Milliseconds from the first to the last byte of the response. */
  readonly transferMs: number;
}

/** A long poll of a table's change feed. */
export interface FeedQuery {
  readonly table: string;
  /** Only changes with a higher version are returned. */
  readonly after: number;
  /** Milliseconds to wait when there is no such change. */
  readonly waitMs: number;
  /**
   * Monotonic time in milliseconds; connections on which nothing has arrived since then are not used.
   */
  readonly silentSince?: number;
  /** Abandons the poll. */
  readonly signal?: AbortSignal;
}

/** The platform's transactional store: linearizable, with one monotonically increasing version. */
export abstract class Store {
  /**
   * The store's monotonic clock in milliseconds, extrapolated from the last response; undefined
   * before the first response.
   */
  abstract get now(): number | undefined;
  /**
   * The latest time in milliseconds that the store's clock may show now: too late by as long as the fastest
   * request of late took at most, however old the last response is; undefined before the first response.
   */
  abstract get latestNow(): number | undefined;
  /** Longest value of a row, in bytes; a transaction with a longer one is invalid. */
  abstract get maximumValueBytes(): number;
  /** Versions that responses have named. */
  abstract get seenVersions(): SeenVersions;
  /** Applies a transaction and returns its version. */
  abstract commit(transaction: Transaction): Promise<Result<number, StoreFault>>;
  /** Reads rows of one part in key order. */
  abstract read(query: RangeQuery): Promise<Result<RangePage, StoreFault>>;
  /** Returns changes of a table after a version; waits when there are none. */
  abstract poll(query: FeedQuery): Promise<Result<FeedPage, StoreFault>>;
}
