import {
  SeenVersions,
  Store,
  StoreFaultKind,
  type FeedPage,
  type FeedQuery,
  type RangePage,
  type RangeQuery,
  type Row,
  type RowKey,
  type StoreFault,
  type Transaction,
} from '@currantgap/store';
import { err, ok, type Result } from 'neverthrow';
import { setTimeout as sleep } from 'node:timers/promises';

/** Failures that the store stand-in simulates. */
export enum StoreFailure {
  None = 'none',
  /** Refuses every call without applying it. */
  Down = 'down',
  /** Neither applies calls nor answers them; callers see an unknown outcome. */
  Silent = 'silent',
  /** Applies writes but loses their responses. */
  ResponseLost = 'answer-lost',
  /**
   * Does not answer writes. `applyLateTransactions` applies them later, if their conditions hold
   * then.
   */
  Late = 'late',
}

const PAGE_ROWS = 500;
const MAXIMUM_TRANSACTION_BYTES = 1_048_576;
/** Bytes of the base64 encoding of three bytes. */
const BASE64_BYTES = 4;
/** Milliseconds of queued transactions per part above which further ones are refused. */
const MAXIMUM_QUEUE_MS = 1_000;
const KEY_SEPARATOR = '\uffff';

/**
 * In-memory stand-in of the platform's store, with one increasing version, transactions within a
 * part and change feeds.
 */
export class MemoryStore extends Store {
  failure = StoreFailure.None;
  /** Milliseconds until the client of an unanswered write times out. */
  clientTimeoutMs = 0;
  /** Milliseconds for which one transaction occupies its part, and by which polls are delayed. */
  transactionMs = 0;
  /** Number of transactions that were sent, whatever their outcome. */
  commitCount = 0;
  /** 65,536 bytes in base64, as the platform's rows have. */
  maximumValueBytes = 49_152;
  /** Entries that a transaction may have. */
  maximumEntries = 100;
  readonly seenVersions = new SeenVersions();
  readonly #rows = new Map<string, Row>();
  #history: Row[] = [];
  #historyStart = 0;
  #version = 0;
  #lateTransactions: Transaction[] = [];
  readonly #waiters = new Set<() => void>();
  /** Monotonic time in milliseconds at which the queued transactions of each part end. */
  readonly #busyUntil = new Map<string, number>();

  get now(): number {
    return performance.now();
  }

  get latestNow(): number {
    return this.now;
  }

  /** Version of the latest transaction. */
  get version(): number {
    return this.#version;
  }

  /** Returns one row directly, also while a failure is simulated. */
  peek(key: RowKey): Row | undefined {
    return this.#rows.get(encodeKey(key));
  }

  /** Writes rows directly, as many as a transaction of the platform may not have. */
  load(rows: Transaction['puts']): void {
    this.#apply({ conditions: [], puts: rows, removals: [] });
  }

  /** Lists the keys of all rows of a table directly. */
  listKeys(table: string): readonly string[] {
    return [...this.#rows.values()].filter((row) => row.table === table).map(({ key }) => key);
  }

  /** Discards the feed history, as the platform may do at any time. */
  dropHistory(): void {
    this.#history = [];
    this.#historyStart = this.#version;
    this.#notifyWaiters();
  }

  /** Applies the transactions that `StoreFailure.Late` delayed. */
  applyLateTransactions(): void {
    const late = this.#lateTransactions;
    this.#lateTransactions = [];
    for (const transaction of late) this.#apply(transaction);
  }

  async commit(transaction: Transaction): Promise<Result<number, StoreFault>> {
    this.commitCount += 1;
    if (this.#isBeyondLimit(transaction)) return err(createFault(StoreFaultKind.Invalid));
    const isAdmitted = await this.#waitForTurn(transaction);
    if (!isAdmitted) return err(createFault(StoreFaultKind.Refused));
    const fault = this.#findFault();
    if (fault !== undefined) return err(fault);
    if (this.failure === StoreFailure.Late) {
      this.#lateTransactions.push(transaction);
      return this.#waitForClientTimeout();
    }
    const result = this.#apply(transaction);
    const isLost = this.failure === StoreFailure.ResponseLost && result.isOk();
    return isLost ? this.#waitForClientTimeout() : result;
  }

  async read(query: RangeQuery): Promise<Result<RangePage, StoreFault>> {
    await Promise.resolve();
    const fault = this.#findFault();
    if (fault !== undefined) return err(fault);
    const limit = query.limit ?? PAGE_ROWS;
    const from = query.from ?? '';
    const rows = [...this.#rows.values()]
      .filter(({ table, part, key }) => table === query.table && part === query.part && key >= from)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
    const hasMore = rows.length > limit;
    return ok({
      rows: rows.slice(0, limit),
      hasMore,
      version: this.#version,
      currentAt: this.now,
      transferMs: 0,
    });
  }

  async poll(query: FeedQuery): Promise<Result<FeedPage, StoreFault>> {
    await sleep(this.transactionMs);
    const page = this.#readFeed(query);
    if (page !== undefined) return page;
    await this.#waitForChange(query.waitMs);
    const changed = this.#readFeed(query);
    return changed ?? ok({ rows: [], version: this.#version, currentAt: this.now });
  }

  /** Whether the platform would reject the transaction for good. */
  #isBeyondLimit({ conditions, puts, removals }: Transaction): boolean {
    const sizes = puts.map(({ value }) => Buffer.byteLength(value));
    const bytes = sizes.reduce((sum, size) => sum + Math.ceil(size / 3) * BASE64_BYTES, 0);
    return (
      conditions.length + puts.length + removals.length > this.maximumEntries ||
      sizes.some((size) => size > this.maximumValueBytes) ||
      bytes > MAXIMUM_TRANSACTION_BYTES
    );
  }

  /** Waits for the part's earlier transactions; returns false if its queue is full. */
  async #waitForTurn({ conditions, puts, removals }: Transaction): Promise<boolean> {
    const [first] = [...conditions, ...puts, ...removals];
    if (this.transactionMs === 0 || first === undefined) return Promise.resolve(true);
    const now = performance.now();
    const startsAt = Math.max(now, this.#busyUntil.get(first.part) ?? 0);
    if (startsAt - now > MAXIMUM_QUEUE_MS) return false;
    const endsAt = startsAt + this.transactionMs;
    this.#busyUntil.set(first.part, endsAt);
    await sleep(endsAt - now);
    return true;
  }

  async #waitForClientTimeout(): Promise<Result<number, StoreFault>> {
    await sleep(this.clientTimeoutMs);
    return err(createFault(StoreFaultKind.Unknown));
  }

  #readFeed(query: FeedQuery): Result<FeedPage, StoreFault> | undefined {
    const fault = this.#findFault();
    if (fault !== undefined) return err(fault);
    if (query.after < this.#historyStart) return err(createFault(StoreFaultKind.HistoryGone));
    const rows = this.#history.filter(
      ({ table, version }) => table === query.table && version > query.after,
    );
    if (rows.length === 0) return undefined;
    return ok({ rows, version: this.#version, currentAt: this.now });
  }

  async #waitForChange(waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.#waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, waitMs);
      this.#waiters.add(finish);
    });
  }

  #apply(transaction: Transaction): Result<number, StoreFault> {
    const present = transaction.conditions.map((condition) => this.#get(condition));
    const isMet = transaction.conditions.every(
      (condition, index) => present[index]?.version === condition.version,
    );
    if (!isMet) return err(createFault(StoreFaultKind.Conflict, present));
    this.#version += 1;
    this.seenVersions.record(this.#version, performance.now());
    for (const put of transaction.puts)
      this.#set({ ...put, version: this.#version, isDeleted: false });
    for (const removal of transaction.removals) {
      this.#set({ ...removal, value: '', version: this.#version, isDeleted: true });
    }
    this.#notifyWaiters();
    return ok(this.#version);
  }

  #get(key: RowKey): Row {
    const { table, part, key: rowKey } = key;
    const absent = { table, part, key: rowKey, value: '', version: 0, isDeleted: true };
    return this.#rows.get(encodeKey(key)) ?? absent;
  }

  #set(row: Row): void {
    const encodedKey = encodeKey(row);
    if (row.isDeleted) this.#rows.delete(encodedKey);
    else this.#rows.set(encodedKey, row);
    this.#history.push(row);
  }

  #notifyWaiters(): void {
    for (const finish of [...this.#waiters]) finish();
  }

  #findFault(): StoreFault | undefined {
    if (this.failure === StoreFailure.Down) return createFault(StoreFaultKind.Refused);
    if (this.failure === StoreFailure.Silent) return createFault(StoreFaultKind.Unknown);
    return undefined;
  }
}

function encodeKey({ table, part, key }: RowKey): string {
  return [table, part, key].join(KEY_SEPARATOR);
}

function createFault(kind: StoreFaultKind, rows: readonly Row[] = []): StoreFault {
  return { kind, message: `stand-in: ${kind}`, rows };
}
