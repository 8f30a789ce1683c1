import type { Fault } from '@currantgap/model';
import type { Result } from 'neverthrow';

/** Version of a row that does not exist. */
export const ABSENT_VERSION = 0;

/** A row of the table service. */
export interface Row {
  readonly key: string;
  /** Rises by one with every write; `ABSENT_VERSION` when there is no such row. */
  readonly version: number;
  readonly value: string;
  /** Nonce of the transaction that wrote the row last. */
  readonly nonce: string;
}

/** A row must have this version for the transaction to take effect. */
export interface Condition {
  readonly key: string;
  readonly version: number;
}

/** A value to write, or `undefined` to remove the row. */
export interface Write {
  readonly key: string;
  readonly value: string | undefined;
}

/** Conditions and writes that take effect together or not at all. */
export interface Transaction {
  /** Unique to the transaction; every row it writes carries it. */
  readonly nonce: string;
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
  /**
   * Key of a row among the writes that no other transaction writes while the answer is awaited;
   * it tells whether the transaction took effect when its answer was lost.
   */
  readonly witness: string;
}

/** How a transaction ended. */
export enum CommitResult {
  Committed = 'committed',
  Conflict = 'conflict',
}

/** Options of a scan over keys in ascending order. */
export interface ScanOptions {
  readonly prefix: string;
  /** Only keys greater than this one. */
  readonly after: string;
  readonly limit: number;
}

/** The platform's transactional table service. */
export abstract class TableService {
  /** Reads rows; absent ones come with `ABSENT_VERSION`. Fails with `Unavailable`. */
  abstract read(keys: readonly string[]): Promise<Result<readonly Row[], Fault>>;

  /** Lists rows by prefix. Fails with `Unavailable`. */
  abstract list(options: ScanOptions): Promise<Result<readonly Row[], Fault>>;

  /**
   * Applies a transaction. Fails with `Unavailable` when it surely did not take effect,
   * with `OutcomeUnknown` when that could not be found out.
   */
  abstract apply(transaction: Transaction): Promise<Result<CommitResult, Fault>>;
}
