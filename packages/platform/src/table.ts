import type { Fault } from '@currantgap/model';
import type { Result } from 'neverthrow';

/** Version of a row that does not exist. */
export const ABSENT_VERSION = 0;

/** A row of the table service. */
export interface Row {
  readonly key: string;
  /** Incremented by every write; `ABSENT_VERSION` when the row does not exist. */
  readonly version: number;
  readonly value: string;
  /** Nonce of the transaction that last wrote the row. */
  readonly nonce: string;
}

/** Requires a row to have this version, else the transaction has no effect. */
export interface Condition {
  readonly key: string;
  readonly version: number;
}

/** A value to write, or `undefined` to remove the row. */
export interface Write {
  readonly key: string;
  readonly value: string | undefined;
}

/** Writes that are applied atomically, provided that all conditions hold. */
export interface Transaction {
  /** Unique to the transaction; stored in every row that it writes. */
  readonly nonce: string;
  readonly conditions: readonly Condition[];
  readonly writes: readonly Write[];
  /**
   * Key of one of the written rows, which no other transaction may write while the response is
   * pending. When the response is lost, the nonce of this row shows whether the transaction took
   * effect.
   */
  readonly witness: string;
}

/** Result of a transaction. */
export enum CommitResult {
  Committed = 'committed',
  /** A condition did not hold; nothing was written. */
  Conflict = 'conflict',
}

/** Options of a scan in ascending order of keys. */
export interface ScanOptions {
  readonly prefix: string;
  /** Exclusive lower bound of the keys. */
  readonly after: string;
  /** Maximum number of rows. */
  readonly limit: number;
}

/** The platform's transactional table service. */
export abstract class TableService {
  /**
   * Reads one row per key, in the order of the keys. Absent rows have `ABSENT_VERSION`. Fails with
   * `Unavailable`.
   */
  abstract read(keys: readonly string[]): Promise<Result<readonly Row[], Fault>>;

  /** Lists rows by key prefix. Fails with `Unavailable`. */
  abstract list(options: ScanOptions): Promise<Result<readonly Row[], Fault>>;

  /**
   * Applies a transaction. Fails with `Unavailable` when it definitely did not take effect, and
   * with `OutcomeUnknown` when that could not be determined.
   */
  abstract apply(transaction: Transaction): Promise<Result<CommitResult, Fault>>;
}
