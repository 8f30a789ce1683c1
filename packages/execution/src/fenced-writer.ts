import { FENCE_ROW, OWNER_PART, type Term } from '@currantgap/ownership';
import {
  StoreFaultKind,
  type Row,
  type RowKey,
  type Store,
  type StoreFault,
} from '@currantgap/store';
import type { Logger } from '@currantgap/telemetry';

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
/** Rows in one transaction of at most 100 entries: two for each row, and the fence row. */
const ROWS_PER_TRANSACTION = 45;

/** A row that the owner writes. */
export abstract class FencedRow {
  abstract readonly table: string;
  abstract readonly key: string;
  /** Version of the row in the store, as far as it is known; 0 if there is none. */
  abstract version: number;
  /** Encodes the current value; undefined removes the row. */
  abstract encode(): string | undefined;
  /** Called when the store has the value that `encode` returned last. */
  abstract handleStored(): void;
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
 * owner nor a delayed transaction overwrites a later value.
 */
export class FencedWriter {
  readonly #options: FencedWriterOptions;
  /** Rows with changes, each with the number of its first change that is not stored. */
  #pending = new Map<FencedRow, number>();
  /** Rows that are written before all others. */
  #urgent = new Set<FencedRow>();
  #lastChange = 0;
  #isWriting = false;
  #isStopped = false;
  #isFailing = false;
  /** Monotonic time before which no transaction is sent, in milliseconds. */
  #pauseUntil = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: FencedWriterOptions) {
    this.#options = options;
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
    if (this.#isWriting || this.#isStopped || !this.#hasChanges()) return;
    const urgent = [...this.#urgent].slice(0, ROWS_PER_TRANSACTION);
    const batch = new Map([...this.#pending].slice(0, ROWS_PER_TRANSACTION - urgent.length));
    for (const row of urgent) this.#urgent.delete(row);
    for (const row of batch.keys()) this.#pending.delete(row);
    this.#isWriting = true;
    const sentAt = performance.now();
    const isWritten = await this.#commit([...urgent, ...batch.keys()]);
    const answeredAt = performance.now();
    this.#pauseUntil = answeredAt + Math.min(answeredAt - sentAt, MAXIMUM_PAUSE_MS);
    this.#isWriting = false;
    if (isWritten) this.#options.onWritten(this.#getWrittenThrough());
    else this.#enqueueAgain(urgent, batch);
    if (this.#hasChanges()) this.#schedule(isWritten ? 0 : RETRY_MS);
  }

  #hasChanges(): boolean {
    return this.#urgent.size > 0 || this.#pending.size > 0;
  }

  /** Puts rows that were not written back ahead of later changes. */
  #enqueueAgain(urgent: readonly FencedRow[], batch: ReadonlyMap<FencedRow, number>): void {
    this.#urgent = new Set([...urgent, ...this.#urgent]);
    const merged = new Map([...this.#pending, ...batch]);
    this.#pending = new Map([...merged].sort((left, right) => left[1] - right[1]));
  }

  /** Gets the number up to which all changes are stored. */
  #getWrittenThrough(): number {
    const [first] = this.#pending.values();
    return first === undefined ? this.#lastChange : first - 1;
  }

  async #commit(rows: readonly FencedRow[]): Promise<boolean> {
    const { store, term, logger } = this.#options;
    const getKey = ({ table, key }: FencedRow): RowKey => ({ table, part: OWNER_PART, key });
    const values = rows.map((row) => ({ ...getKey(row), value: row.encode() }));
    const result = await store.commit({
      conditions: [
        { ...FENCE_ROW, version: term.fenceVersion },
        ...rows.map((row) => ({ ...getKey(row), version: row.version })),
      ],
      puts: values.flatMap(({ value, ...key }) => (value === undefined ? [] : [{ ...key, value }])),
      removals: values.flatMap(({ value, ...key }) => (value === undefined ? [key] : [])),
    });
    if (result.isErr()) {
      this.#handleFault(result.error, rows);
      return false;
    }
    if (this.#isFailing) logger.writeInfo('progress written again');
    this.#isFailing = false;
    for (const [index, row] of rows.entries()) {
      row.version = values[index]?.value === undefined ? 0 : result.value;
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
    if (!this.#isFailing) logger.writeWarning('progress not written', { reason: fault.message });
    this.#isFailing = true;
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
