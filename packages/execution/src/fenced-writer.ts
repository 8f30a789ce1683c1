import { FENCE_ROW, OWNER_PART, type Term } from '@currantgap/ownership';
import {
  StoreFaultKind,
  type Row,
  type RowKey,
  type Store,
  type StoreFault,
} from '@currantgap/store';
import type { Logger } from '@currantgap/telemetry';
import { getPartKey, splitValue } from './row-parts.ts';

/** Milliseconds for which changes are batched into one transaction. */
const BATCH_MS = 20;
/**
 * Maximum milliseconds of the pause between two transactions while the store is slow. The pause
 * equals the last response time, so that lease renewals, which use the same part of the store, get
 * through in between.
 */
const MAXIMUM_PAUSE_MS = 400;
/** Milliseconds before a failed transaction is retried. */
const RETRY_MS = 150;
/** Milliseconds before a row that the store has rejected by itself is tried again. */
const REJECTED_RETRY_MS = 1_000;
/** Entries in one transaction: the fence row, and for each row its condition and its parts. */
const ENTRIES_PER_TRANSACTION = 100;
/** Bytes of values in one transaction, below the 1 MB of base64 that the store accepts in a call. */
const BYTES_PER_TRANSACTION = 720_000;
/** Bytes of the longest value that one row, spread over several, is meant to have. */
export const MAXIMUM_VALUE_BYTES = 700_000;

/** A row that the owner writes. */
export abstract class FencedRow {
  abstract readonly table: string;
  abstract readonly key: string;
  /** Version of the row in the store, as far as it is known; 0 if there is none. */
  abstract version: number;
  /** Rows of the store that may hold parts of the value: of all writes that may take effect. */
  parts = 1;
  /** Encodes the current value; undefined removes the row. */
  abstract encode(): string | undefined;
  /** Called when the store has the value that `encode` returned last. */
  abstract handleStored(): void;
}

/** A row as it is sent. */
interface EncodedRow {
  readonly row: FencedRow;
  /** Parts of the value; empty if the row is removed. */
  readonly values: readonly string[];
  /** Bytes of the value. */
  readonly bytes: number;
  /** Entries of the transaction. */
  readonly entries: number;
}

/** Options of a writer. */
export interface FencedWriterOptions {
  readonly store: Store;
  readonly term: Term;
  readonly logger: Logger;
  /** Called when the store has all changes up to and including this number. */
  readonly onWritten: (changeNumber: number) => void;
  /** Called when the fence row shows that another node has taken over. */
  readonly onFenced: () => void;
}

/**
 * Writes all rows of the owner's part but the lease, one transaction at a time. Each transaction
 * requires the fence row of the term and the known version of each row, so that neither a deposed
 * owner nor a delayed transaction overwrites a later value. A long value is spread over several rows.
 * A row that the store rejects for good keeps back no other.
 */
export class FencedWriter {
  readonly #options: FencedWriterOptions;
  /** Rows with changes, each with the number of its first change that is not stored. */
  #pending = new Map<FencedRow, number>();
  /** Rows that are written before all others. */
  #urgent = new Set<FencedRow>();
  /** Rows of a rejected transaction, each of which is sent by itself. */
  readonly #isolated = new Set<FencedRow>();
  /** Monotonic times before which rows that were rejected by themselves are not sent again. */
  readonly #rejectedUntil = new Map<FencedRow, number>();
  #lastChange = 0;
  #isWriting = false;
  #isStopped = false;
  #isFailing = false;
  /** Monotonic time before which no transaction is sent, in milliseconds. */
  #pauseUntil = 0;
  #timer: NodeJS.Timeout | undefined;
  #provenVersion: number;

  constructor(options: FencedWriterOptions) {
    this.#options = options;
    this.#provenVersion = options.term.token;
  }

  /** Highest store version at which this owner is known not to have been deposed. */
  get provenVersion(): number {
    return this.#provenVersion;
  }

  /** Records the version of a transaction that required the fence row of the term. */
  recordVersion(version: number): void {
    this.#provenVersion = Math.max(this.#provenVersion, version);
  }

  /** Enqueues a changed row that something waits for, ahead of all others. */
  addUrgent(row: FencedRow): void {
    this.#urgent.add(row);
    this.#schedule(0);
  }

  /** Enqueues a changed row; returns the number of the change. */
  add(row: FencedRow): number {
    this.#lastChange += 1;
    if (!this.#pending.has(row)) this.#pending.set(row, this.#lastChange);
    this.#schedule(BATCH_MS);
    return this.#lastChange;
  }

  /** Writes pending changes now instead of after the batch delay; resolves after one attempt. */
  async flush(): Promise<void> {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    await this.#write();
  }

  /** Cancels the scheduled write and prevents further transactions; used when the term ends. */
  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  #schedule(delayMs: number): void {
    if (this.#isWriting || this.#isStopped) return;
    const pauseMs = this.#pauseUntil - performance.now();
    const waitMs = Math.max(delayMs, pauseMs);
    if (delayMs === 0) clearTimeout(this.#timer);
    else if (this.#timer !== undefined) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      void this.#write();
    }, waitMs);
  }

  async #write(): Promise<void> {
    if (this.#isWriting || this.#isStopped) return;
    const batch = this.#takeBatch();
    if (batch.length === 0) {
      if (this.#hasChanges()) this.#schedule(REJECTED_RETRY_MS);
      return;
    }
    const changes = new Map<FencedRow, number>();
    const urgent = new Set<FencedRow>();
    for (const { row } of batch) {
      const change = this.#pending.get(row);
      if (change !== undefined) changes.set(row, change);
      if (this.#urgent.delete(row)) urgent.add(row);
      this.#pending.delete(row);
    }
    this.#isWriting = true;
    const sentAt = performance.now();
    const isWritten = await this.#commit(batch);
    const answeredAt = performance.now();
    this.#pauseUntil = answeredAt + Math.min(answeredAt - sentAt, MAXIMUM_PAUSE_MS);
    this.#isWriting = false;
    if (isWritten) this.#options.onWritten(this.#getWrittenThrough());
    else this.#enqueueAgain(urgent, changes);
    if (this.#hasChanges()) this.#schedule(isWritten ? 0 : RETRY_MS);
  }

  /** Encodes the rows of the next transaction: as many as fit, or one that is sent by itself. */
  #takeBatch(): EncodedRow[] {
    const now = performance.now();
    const batch: EncodedRow[] = [];
    let [bytes, entries] = [0, 1];
    for (const row of new Set([...this.#urgent, ...this.#pending.keys()])) {
      if (now < (this.#rejectedUntil.get(row) ?? 0)) continue;
      if (this.#isolated.has(row) && batch.length > 0) continue;
      const encoded = this.#encode(row);
      bytes += encoded.bytes;
      entries += encoded.entries;
      const isFull = bytes > BYTES_PER_TRANSACTION || entries > ENTRIES_PER_TRANSACTION;
      if (isFull && batch.length > 0) break;
      batch.push(encoded);
      if (this.#isolated.has(row)) break;
    }
    return batch;
  }

  #encode(row: FencedRow): EncodedRow {
    const value = row.encode();
    const { maximumValueBytes } = this.#options.store;
    const values = value === undefined ? [] : splitValue(value, maximumValueBytes);
    const entries = 1 + Math.max(values.length, row.parts);
    row.parts = Math.max(values.length, row.parts);
    return { row, values, bytes: Buffer.byteLength(value ?? ''), entries };
  }

  #hasChanges(): boolean {
    return this.#urgent.size > 0 || this.#pending.size > 0;
  }

  /** Puts rows that were not written back ahead of later changes. */
  #enqueueAgain(urgent: ReadonlySet<FencedRow>, batch: ReadonlyMap<FencedRow, number>): void {
    this.#urgent = new Set([...urgent, ...this.#urgent]);
    const merged = new Map([...this.#pending, ...batch]);
    this.#pending = new Map([...merged].sort((left, right) => left[1] - right[1]));
  }

  /** Gets the number up to which all changes are stored. */
  #getWrittenThrough(): number {
    const [first] = this.#pending.values();
    return first === undefined ? this.#lastChange : first - 1;
  }

  async #commit(batch: readonly EncodedRow[]): Promise<boolean> {
    const { store, term, logger } = this.#options;
    const result = await store.commit({
      conditions: [
        { ...FENCE_ROW, version: term.fenceVersion },
        ...batch.map(({ row }) => ({ ...getKey(row, 0), version: row.version })),
      ],
      puts: batch.flatMap(({ row, values }) =>
        values.map((value, part) => ({ ...getKey(row, part), value })),
      ),
      removals: batch.flatMap(({ row, values }) => {
        const unused = Math.max(0, row.parts - values.length);
        return Array.from({ length: unused }, (_, index) => getKey(row, values.length + index));
      }),
    });
    const rows = batch.map(({ row }) => row);
    if (result.isErr()) {
      this.#handleFault(result.error, rows);
      return false;
    }
    if (this.#isFailing) logger.writeInfo('progress written again');
    this.#isFailing = false;
    this.recordVersion(result.value);
    for (const { row, values } of batch) {
      this.#isolated.delete(row);
      this.#rejectedUntil.delete(row);
      row.version = values.length === 0 ? 0 : result.value;
      row.parts = Math.max(1, values.length);
      row.handleStored();
    }
    return true;
  }

  #handleFault(fault: StoreFault, rows: readonly FencedRow[]): void {
    if (fault.kind === StoreFaultKind.Conflict) {
      this.#resolveConflict(fault.rows, rows);
      return;
    }
    const { logger } = this.#options;
    if (fault.kind === StoreFaultKind.Invalid) {
      this.#splitRejected(rows, fault);
      return;
    }
    if (!this.#isFailing) logger.writeWarning('progress not written', { reason: fault.message });
    this.#isFailing = true;
  }

  /** Sends the rows of a rejected transaction one by one, and one that was rejected alone less often. */
  #splitRejected(rows: readonly FencedRow[], { message }: StoreFault): void {
    for (const row of rows) this.#isolated.add(row);
    const [row, second] = rows;
    if (row === undefined || second !== undefined) return;
    if (!this.#rejectedUntil.has(row)) {
      const { table, key } = row;
      this.#options.logger.writeError('row rejected', { table, key, reason: message });
    }
    this.#rejectedUntil.set(row, performance.now() + REJECTED_RETRY_MS);
  }

  /**
   * Handles a conflict: either an earlier transaction of this owner was committed without a
   * response, or another owner has changed the fence row.
   */
  #resolveConflict(found: readonly Row[], rows: readonly FencedRow[]): void {
    const fence = found.find((row) => row.table === FENCE_ROW.table);
    if (fence?.version !== this.#options.term.fenceVersion) {
      this.stop();
      this.#options.onFenced();
      return;
    }
    const versions = new Map(found.map((row) => [`${row.table}/${row.key}`, row.version]));
    for (const row of rows) row.version = versions.get(`${row.table}/${row.key}`) ?? 0;
  }
}

function getKey({ table, key }: FencedRow, part: number): RowKey {
  return { table, part: OWNER_PART, key: getPartKey(key, part) };
}
