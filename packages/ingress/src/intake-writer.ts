import { decodeRefusal } from '@currantgap/execution';
import {
  StoreFaultKind,
  type Row,
  type RowKey,
  type Store,
  type StoreFault,
} from '@currantgap/store';
import type { Logger } from '@currantgap/telemetry';
import { setTimeout as sleep } from 'node:timers/promises';
import { CircuitBreaker } from './circuit-breaker.ts';
import type { StoreProbe } from './store-probe.ts';

/** Each row takes two conditions and a put; the store accepts at most 100 entries per transaction. */
const ROWS_PER_TRANSACTION = 30;
/** Bytes of values per transaction, well below the 1 MB that the store's protocol allows. */
const BYTES_PER_TRANSACTION = 400_000;
/**
 * Milliseconds during which rows are collected into a batch; short compared with the latency of the
 * store.
 */
const BATCH_DELAY_MS = 3;
/** Transactions in flight per part; with only one, a lost response would block all other writes. */
const MAXIMUM_IN_FLIGHT = 2;
/** Milliseconds before a write whose response was lost is retried. */
const RETRY_DELAY_MS = 100;
/** Attempts at a write that may have been applied; then the caller should retry elsewhere. */
const MAXIMUM_ATTEMPTS = 2;

/**
 * Milliseconds by which a refusal must have been seen before the request that replaces it arrived. A
 * request that was sent earlier and read late, since this process stood still, does not replace it.
 */
const SEEN_MARGIN_MS = 800;

/** Outcome of a write; the values are part of the log event names. */
export enum WriteOutcome {
  Written = 'written',
  /** The row existed already, from an earlier attempt or another node. */
  AlreadyExists = 'known',
  /** The row was not written, and this write can no longer take effect. */
  Refused = 'refused',
  /** Another node has refused the submission, and the write can no longer take effect. */
  Withdrawn = 'withdrawn',
  /** The row may have been written, or may still be. */
  Unknown = 'unknown',
}

/** A row to write before a deadline. */
export interface IntakeWrite {
  readonly row: RowKey & { readonly value: string };
  /** Rows that must not exist yet; empty if the write has no condition. */
  readonly absent: readonly RowKey[];
  /**
   * Highest version of a row of a refused submission that the write may replace among `absent`; 0 if
   * it may replace none.
   */
  readonly replacesRefusalsThrough?: number;
  /** Monotonic time (`performance.now()`) at which the caller stops waiting, in milliseconds. */
  readonly deadline: number;
}

interface PendingWrite extends IntakeWrite {
  /** Rows with the version that each must have. */
  conditions: readonly (RowKey & { readonly version: number })[];
  /** Whether the response to an attempt was lost, so that the write may still take effect. */
  isUncertain: boolean;
  attempts: number;
  readonly resolve: (outcome: WriteOutcome) => void;
}

/**
 * Writes the rows of submissions and cancel requests in batches and determines the outcome of each
 * write. A circuit breaker refuses writes while the store fails.
 */
export class IntakeWriter {
  readonly #store: Store;
  readonly #breaker: CircuitBreaker;
  #pending: PendingWrite[] = [];
  /** Number of transactions in flight by part. */
  readonly #inFlight = new Map<string, number>();
  #isSendScheduled = false;

  constructor(store: Store, probe: StoreProbe, logger: Logger) {
    this.#store = store;
    this.#breaker = new CircuitBreaker(probe, logger);
  }

  /** Whether the circuit breaker is open because the last calls to the store failed. */
  get isCircuitOpen(): boolean {
    return this.#breaker.isOpen;
  }

  /** Finds the highest version of the store that this node had seen well before a time. */
  findVersionBefore(arrivedAt: number): number {
    return this.#store.seenVersions.findAt(arrivedAt - SEEN_MARGIN_MS);
  }

  /** Writes a row; resolves when the outcome is known or the deadline has passed. */
  async write(write: IntakeWrite): Promise<WriteOutcome> {
    if (this.isCircuitOpen) return WriteOutcome.Refused;
    return new Promise((resolve) => {
      // The caller gets a response by its deadline even if the store does not respond.
      const timer = setTimeout(() => {
        this.#expire(pending);
      }, write.deadline - performance.now());
      const finish = (outcome: WriteOutcome): void => {
        clearTimeout(timer);
        resolve(outcome);
      };
      const conditions = write.absent.map((key) => ({ ...key, version: 0 }));
      const pending = { ...write, conditions, isUncertain: false, attempts: 0, resolve: finish };
      this.#pending.push(pending);
      this.#scheduleSend();
    });
  }

  /** Ends the probes of the circuit breaker; writes in flight are not cut off. */
  close(): void {
    this.#breaker.stop();
  }

  #expire(write: PendingWrite): void {
    const index = this.#pending.indexOf(write);
    if (index >= 0) this.#pending.splice(index, 1);
    const isUnsent = index >= 0 && write.attempts === 0;
    write.resolve(isUnsent ? WriteOutcome.Refused : WriteOutcome.Unknown);
  }

  #scheduleSend(): void {
    if (this.#isSendScheduled) return;
    this.#isSendScheduled = true;
    setTimeout(() => {
      this.#isSendScheduled = false;
      this.#sendBatches();
    }, BATCH_DELAY_MS);
  }

  #sendBatches(): void {
    for (const part of new Set(this.#pending.map(({ row }) => row.part))) {
      const inFlight = this.#inFlight.get(part) ?? 0;
      if (inFlight >= MAXIMUM_IN_FLIGHT) continue;
      const batch = this.#takeBatch(part);
      this.#inFlight.set(part, inFlight + 1);
      void this.#commit(batch).finally(() => {
        this.#inFlight.set(part, (this.#inFlight.get(part) ?? 1) - 1);
        this.#sendBatches();
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
    const selected = new Set(batch);
    this.#pending = this.#pending.filter((write) => !selected.has(write));
    return batch;
  }

  async #commit(batch: readonly PendingWrite[]): Promise<void> {
    for (const write of batch) write.attempts += 1;
    const sentAt = performance.now();
    const result = await this.#store.commit({
      conditions: batch.flatMap(({ conditions }) => conditions),
      puts: batch.map(({ row }) => row),
      removals: [],
    });
    if (result.isOk()) {
      this.#breaker.recordSuccess(sentAt);
      for (const write of batch) write.resolve(WriteOutcome.Written);
      return;
    }
    await this.#handleFault(result.error, batch, sentAt);
  }

  async #handleFault(
    fault: StoreFault,
    batch: readonly PendingWrite[],
    sentAt: number,
  ): Promise<void> {
    if (fault.kind === StoreFaultKind.Conflict) {
      this.#breaker.recordSuccess(sentAt);
      this.#resolveConflict(fault, batch);
      return;
    }
    this.#breaker.recordFailure(fault, sentAt);
    if (fault.kind === StoreFaultKind.Unknown) {
      for (const write of batch) write.isUncertain = true;
    }
    const retried: PendingWrite[] = [];
    for (const write of batch) {
      if (!write.isUncertain) write.resolve(WriteOutcome.Refused);
      else if (write.attempts >= MAXIMUM_ATTEMPTS) write.resolve(WriteOutcome.Unknown);
      else retried.push(write);
    }
    if (retried.length === 0) return;
    await sleep(RETRY_DELAY_MS);
    this.#pending = [...retried, ...this.#pending];
  }

  /**
   * Rows that exist were written by an earlier attempt or another node. Writes that may replace a
   * refusal, and those without a conflict of their own, are resent.
   */
  #resolveConflict(fault: StoreFault, batch: readonly PendingWrite[]): void {
    const now = performance.now();
    for (const { version } of fault.rows) this.#store.seenVersions.record(version, now);
    const remaining: PendingWrite[] = [];
    for (const write of batch) {
      const outcome = findConflict(write, fault.rows);
      if (outcome === undefined) remaining.push(write);
      else write.resolve(outcome);
      write.conditions = write.conditions.map((condition) => ({
        ...condition,
        version: findRow(fault.rows, condition)?.version ?? condition.version,
      }));
    }
    this.#pending = [...remaining, ...this.#pending];
  }
}

/** Finds the outcome of a write whose rows exist; undefined if it may be sent again. */
function findConflict(write: PendingWrite, rows: readonly Row[]): WriteOutcome | undefined {
  const existing = write.absent.flatMap((key) => findRow(rows, key) ?? []);
  const present = existing.filter(({ version }) => version > 0);
  if (present.some(({ value }) => decodeRefusal(value) === undefined))
    return WriteOutcome.AlreadyExists;
  const through = write.replacesRefusalsThrough ?? 0;
  return present.some(({ version }) => version > through) ? WriteOutcome.Withdrawn : undefined;
}

function findRow(rows: readonly Row[], { table, key }: RowKey): Row | undefined {
  return rows.find((row) => row.table === table && row.key === key);
}
