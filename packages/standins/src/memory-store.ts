import {
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

/** Ways in which the store stand-in misbehaves. */
export enum StoreTrouble {
  None = 'none',
  /** It refuses every call; nothing is done. */
  Down = 'down',
  /** Calls get no answer and are not done. */
  Silent = 'silent',
  /** Writes are done and not answered. */
  AnswerLost = 'answer-lost',
  /** Writes are not answered and done only when `applyLate` is called, if their conditions hold. */
  Late = 'late',
}

const PAGE_ROWS = 500;
/** Milliseconds of transactions that may wait for one part. */
const MAXIMUM_QUEUE_MS = 1_000;
const RANGE_END = '\uffff';

/** The platform's store in memory: one rising version, transactions in a part, feeds. */
export class MemoryStore extends Store {
  trouble = StoreTrouble.None;
  /** Milliseconds after which the client of a write without an answer gives it up. */
  silenceMs = 0;
  /** Milliseconds for which one transaction keeps its part, and by which polls are late. */
  transactionMs = 0;
  /** Transactions that were sent, whatever became of them. */
  commits = 0;
  readonly #rows = new Map<string, Row>();
  #history: Row[] = [];
  #historyFrom = 0;
  #version = 0;
  #late: Transaction[] = [];
  readonly #waiters = new Set<() => void>();
  /** Instant until which the transactions of each part take. */
  readonly #busyUntil = new Map<string, number>();

  get now(): number {
    return performance.now();
  }

  /** Version of the newest transaction. */
  get version(): number {
    return this.#version;
  }

  /** Reads one row without a call. */
  peek(key: RowKey): Row | undefined {
    return this.#rows.get(getName(key));
  }

  /** Forgets all history, as the platform may at any time. */
  dropHistory(): void {
    this.#history = [];
    this.#historyFrom = this.#version;
    this.#wake();
  }

  /** Applies the writes that were held back. */
  applyLate(): void {
    const late = this.#late;
    this.#late = [];
    for (const transaction of late) this.#apply(transaction);
  }

  async commit(transaction: Transaction): Promise<Result<number, StoreFault>> {
    this.commits += 1;
    const isTaken = await this.#waitForTurn(transaction);
    if (!isTaken) return err(createFault(StoreFaultKind.Refused));
    const fault = this.#findFault();
    if (fault !== undefined) return err(fault);
    if (this.trouble === StoreTrouble.Late) {
      this.#late.push(transaction);
      return this.#giveUp();
    }
    const result = this.#apply(transaction);
    const isLost = this.trouble === StoreTrouble.AnswerLost && result.isOk();
    return isLost ? this.#giveUp() : result;
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
    return ok({ rows: rows.slice(0, limit), hasMore, version: this.#version });
  }

  async poll(query: FeedQuery): Promise<Result<FeedPage, StoreFault>> {
    await sleep(this.transactionMs);
    const found = this.#readFeed(query);
    if (found !== undefined) return found;
    await this.#waitForChange(query.waitMs);
    return this.#readFeed(query) ?? ok({ rows: [], version: this.#version });
  }

  /** Waits for the part's earlier transactions; false where too many of them wait already. */
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

  async #giveUp(): Promise<Result<number, StoreFault>> {
    await sleep(this.silenceMs);
    return err(createFault(StoreFaultKind.Unknown));
  }

  #readFeed(query: FeedQuery): Result<FeedPage, StoreFault> | undefined {
    const fault = this.#findFault();
    if (fault !== undefined) return err(fault);
    if (query.after < this.#historyFrom) return err(createFault(StoreFaultKind.HistoryGone));
    const rows = this.#history.filter(
      ({ table, version }) => table === query.table && version > query.after,
    );
    return rows.length > 0 ? ok({ rows, version: this.#version }) : undefined;
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
    for (const put of transaction.puts)
      this.#set({ ...put, version: this.#version, isDeleted: false });
    for (const removal of transaction.removals) {
      this.#set({ ...removal, value: '', version: this.#version, isDeleted: true });
    }
    this.#wake();
    return ok(this.#version);
  }

  #get(key: RowKey): Row {
    const { table, part, key: name } = key;
    const absent = { table, part, key: name, value: '', version: 0, isDeleted: true };
    return this.#rows.get(getName(key)) ?? absent;
  }

  #set(row: Row): void {
    const name = getName(row);
    if (row.isDeleted) this.#rows.delete(name);
    else this.#rows.set(name, row);
    this.#history.push(row);
  }

  #wake(): void {
    for (const finish of [...this.#waiters]) finish();
  }

  #findFault(): StoreFault | undefined {
    if (this.trouble === StoreTrouble.Down) return createFault(StoreFaultKind.Refused);
    if (this.trouble === StoreTrouble.Silent) return createFault(StoreFaultKind.Unknown);
    return undefined;
  }
}

function getName({ table, part, key }: RowKey): string {
  return [table, part, key].join(RANGE_END);
}

function createFault(kind: StoreFaultKind, rows: readonly Row[] = []): StoreFault {
  return { kind, message: `stand-in: ${kind}`, rows };
}
