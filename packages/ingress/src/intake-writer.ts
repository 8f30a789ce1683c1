import { StoreFaultKind, type RowKey, type Store, type StoreFault } from '@currantgap/store';
import type { Logger } from '@currantgap/telemetry';
import { setTimeout as sleep } from 'node:timers/promises';

/** Rows in one transaction: a condition and a put each, in at most a hundred entries. */
const ROWS_PER_TRANSACTION = 40;
/** Bytes in one transaction, well under the megabyte that the protocol allows. */
const BYTES_PER_TRANSACTION = 400_000;
/** Milliseconds in which rows gather for one transaction; a small part of the store's own time. */
const GATHER_MS = 3;
/** Transactions under way at once in one part: one lost answer does not hold up all others. */
const MAXIMUM_TRANSACTIONS = 2;
/** Milliseconds before a write without an answer is tried again. */
const RETRY_MS = 100;
/** Tries of a write that may have been done; after them the caller does better elsewhere. */
const MAXIMUM_TRIES = 2;
/** Refusals in a row after which writes are refused unsent; a missing answer is enough by itself. */
const FAILURES_TO_BREAK = 2;
/** Milliseconds for which writes are refused unsent; then one is let through as a probe. */
const BREAK_MS = 500;

/** What became of a row. */
export enum WriteOutcome {
  Written = 'written',
  /** The row was there already. */
  Known = 'known',
  /** It is not written and never will be by this call. */
  Refused = 'refused',
  /** It may be written, now or later. */
  Unknown = 'unknown',
}

/** A row to write before a deadline. */
export interface IntakeWrite {
  readonly row: RowKey & { readonly value: string };
  /** It must not exist yet. */
  readonly isNew: boolean;
  /** Steady instant after which the caller has gone. */
  readonly deadline: number;
}

interface PendingWrite extends IntakeWrite {
  /** A try of it got no answer, so it may be written later. */
  isUncertain: boolean;
  tries: number;
  readonly resolve: (outcome: WriteOutcome) => void;
}

/** Writes rows of callers grouped into few transactions and finds out what became of each. */
export class IntakeWriter {
  readonly #store: Store;
  readonly #logger: Logger;
  #pending: PendingWrite[] = [];
  /** Transactions under way by part. */
  readonly #underWay = new Map<string, number>();
  #isGathering = false;
  #failures = 0;
  #brokenUntil = 0;

  constructor(store: Store, logger: Logger) {
    this.#store = store;
    this.#logger = logger;
  }

  /** Tells whether the last calls to the store failed. */
  get isBroken(): boolean {
    return this.#failures >= FAILURES_TO_BREAK;
  }

  /** Writes a row; resolves when its fate is known or its deadline has passed. */
  async write(write: IntakeWrite): Promise<WriteOutcome> {
    if (this.isBroken && !this.#startProbe()) return WriteOutcome.Refused;
    return new Promise((resolve) => {
      // The caller gets its answer in time, whatever the store does.
      const timer = setTimeout(() => {
        this.#expire(pending);
      }, write.deadline - performance.now());
      const finish = (outcome: WriteOutcome): void => {
        clearTimeout(timer);
        resolve(outcome);
      };
      const pending = { ...write, isUncertain: false, tries: 0, resolve: finish };
      this.#pending.push(pending);
      this.#schedule();
    });
  }

  /** Lets one write through after a break, to see whether the store is back. */
  #startProbe(): boolean {
    const now = performance.now();
    if (now < this.#brokenUntil) return false;
    this.#brokenUntil = now + BREAK_MS;
    return true;
  }

  #expire(write: PendingWrite): void {
    const position = this.#pending.indexOf(write);
    if (position >= 0) this.#pending.splice(position, 1);
    const isUnsent = position >= 0 && write.tries === 0;
    write.resolve(isUnsent ? WriteOutcome.Refused : WriteOutcome.Unknown);
  }

  #schedule(): void {
    if (this.#isGathering) return;
    this.#isGathering = true;
    setTimeout(() => {
      this.#isGathering = false;
      this.#send();
    }, GATHER_MS);
  }

  #send(): void {
    for (const part of new Set(this.#pending.map(({ row }) => row.part))) {
      const underWay = this.#underWay.get(part) ?? 0;
      if (underWay >= MAXIMUM_TRANSACTIONS) continue;
      const batch = this.#takeBatch(part);
      this.#underWay.set(part, underWay + 1);
      void this.#commit(batch).finally(() => {
        this.#underWay.set(part, (this.#underWay.get(part) ?? 1) - 1);
        this.#send();
      });
    }
  }

  #takeBatch(part: string): PendingWrite[] {
    const batch: PendingWrite[] = [];
    let bytes = 0;
    for (const write of this.#pending) {
      if (write.row.part !== part) continue;
      bytes += write.row.value.length;
      if (batch.length > 0 && bytes > BYTES_PER_TRANSACTION) break;
      batch.push(write);
      if (batch.length === ROWS_PER_TRANSACTION) break;
    }
    const taken = new Set(batch);
    this.#pending = this.#pending.filter((write) => !taken.has(write));
    return batch;
  }

  async #commit(batch: readonly PendingWrite[]): Promise<void> {
    for (const write of batch) write.tries += 1;
    const result = await this.#store.commit({
      conditions: batch
        .filter(({ isNew }) => isNew)
        .map(({ row: { table, part, key } }) => ({ table, part, key, version: 0 })),
      puts: batch.map(({ row }) => row),
      removals: [],
    });
    if (result.isOk()) {
      this.#recover();
      for (const write of batch) write.resolve(WriteOutcome.Written);
      return;
    }
    await this.#handleFault(result.error, batch);
  }

  async #handleFault(fault: StoreFault, batch: readonly PendingWrite[]): Promise<void> {
    if (fault.kind === StoreFaultKind.Conflict) {
      this.#recover();
      this.#resolveConflict(fault, batch);
      return;
    }
    this.#recordFailure(fault);
    if (fault.kind === StoreFaultKind.Unknown) {
      for (const write of batch) write.isUncertain = true;
    }
    const retried: PendingWrite[] = [];
    for (const write of batch) {
      if (!write.isUncertain) write.resolve(WriteOutcome.Refused);
      else if (write.tries >= MAXIMUM_TRIES) write.resolve(WriteOutcome.Unknown);
      else retried.push(write);
    }
    if (retried.length === 0) return;
    await sleep(RETRY_MS);
    this.#pending = [...retried, ...this.#pending];
  }

  /** Rows that exist were written before, by an earlier try or another node; the rest goes again. */
  #resolveConflict(fault: StoreFault, batch: readonly PendingWrite[]): void {
    const known = new Set(fault.rows.filter(({ version }) => version > 0).map(({ key }) => key));
    const rest = batch.filter(({ row }) => !known.has(row.key));
    for (const write of batch) if (known.has(write.row.key)) write.resolve(WriteOutcome.Known);
    this.#pending = [...rest, ...this.#pending];
  }

  #recordFailure(fault: StoreFault): void {
    const wasBroken = this.isBroken;
    this.#failures += fault.kind === StoreFaultKind.Unknown ? FAILURES_TO_BREAK : 1;
    this.#brokenUntil = performance.now() + BREAK_MS;
    if (wasBroken || this.#failures < FAILURES_TO_BREAK) return;
    this.#logger.writeWarning('store lost', { reason: fault.message, kind: fault.kind });
  }

  #recover(): void {
    if (this.isBroken) this.#logger.writeInfo('store regained');
    this.#failures = 0;
  }
}
