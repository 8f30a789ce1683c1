import { setTimeout as sleep } from 'node:timers/promises';
import type { PageSizer } from './page-sizer.ts';
import { pollOverlapping } from './overlapping-poll.ts';
import { FeedRescan } from './feed-rescan.ts';
import { scanRows, type ScanOptions, type ScanResult } from './row-scanner.ts';
import { StoreFaultKind, type Row, type Store, type StoreFault } from './store.ts';

/**
 * Milliseconds after which the store answers a poll even if nothing has changed. Short, because a
 * dead connection is noticed only when the response is overdue, and a new configuration must apply
 * within seconds.
 */
const POLL_WAIT_MS = 1_500;
/** Longest delay in milliseconds before a failed call is retried; half of it is jitter. */
const RETRY_DELAY_MS = 200;
/** Follows all keys, so that a read from here on returns only the version. */
const LAST_KEY = '\u{10ffff}';

/** A time in which all calls of a feed failed. */
export interface FeedOutage {
  /** Milliseconds from the first failed call's end to the first call that succeeded. */
  readonly lostMs: number;
  /** Calls that failed. */
  readonly failedCalls: number;
  /** Milliseconds that the longest of the failed calls took. */
  readonly longestCallMs: number;
}

/** A snapshot that was read beside the feed, after changes were missed. */
export interface FeedRecovery {
  readonly rows: number;
  /** Milliseconds that the scan took. */
  readonly tookMs: number;
  /** Whether no changes were missed meanwhile. */
  readonly isComplete: boolean;
}

/** Options of a feed consumer. */
export interface FeedConsumerOptions {
  readonly store: Store;
  readonly table: string;
  /** Parts whose rows are passed on; rows of other parts are ignored. */
  readonly parts: readonly string[];
  readonly pageSizer: PageSizer;
  /** Milliseconds between a response and the next poll; batches changes into fewer calls. */
  readonly pauseMs: number;
  /**
   * Receives a snapshot of all rows at first and some time after the feed's history was lost, and the
   * changed rows in between.
   */
  readonly onRows: (rows: readonly Row[], isSnapshot: boolean) => void;
  /** Receives, after the rows, the monotonic time in milliseconds up to which all rows were passed on. */
  readonly onCurrent?: (currentAt: number) => void;
  /** Called when calls begin to fail. */
  readonly onLost?: (fault: StoreFault) => void;
  /** Called when a call succeeds after others failed. */
  readonly onRegained?: (outage: FeedOutage) => void;
  /** Called after a snapshot that was read because changes were missed. */
  readonly onRecovered?: (recovery: FeedRecovery) => void;
}

/**
 * Reads a snapshot of some parts of one table and then consumes the table's change feed. When the
 * store no longer has the history since the last poll, goes on from the store's present version and
 * reads a new snapshot beside the feed, so that new changes do not wait for it.
 */
export class FeedConsumer {
  readonly #options: FeedConsumerOptions;
  readonly #rescan: FeedRescan;
  /** Version up to which changes were consumed; undefined when the feed has to begin anew. */
  #version: number | undefined;
  #hasSnapshot = false;
  #isStopped = false;
  #outage: { readonly lostAt: number; failedCalls: number; longestCallMs: number } | undefined;
  /** Monotonic time at which the call in flight was sent, in milliseconds. */
  #sentAt = 0;
  /** Monotonic time up to which the feed was consumed without a gap, in milliseconds. */
  #consumedAt = -Infinity;
  /** Reads of the present version that failed. */
  #failedReads = 0;
  /** Version up to which all changes were part of the last snapshot. */
  #scannedVersion = -Infinity;
  /** Monotonic time at which the last scan began, in milliseconds. */
  #scannedFrom = 0;
  #currentAt: number | undefined;

  constructor(options: FeedConsumerOptions) {
    this.#options = options;
    this.#rescan = new FeedRescan({
      scan: async () => this.#scan(),
      onRead: ({ rows, version }, gapAt) => {
        this.#scannedVersion = version;
        options.onRows(rows, true);
        this.#recordCurrent(gapAt ?? this.#consumedAt);
        const tookMs = performance.now() - this.#scannedFrom;
        options.onRecovered?.({ rows: rows.length, tookMs, isComplete: gapAt === undefined });
      },
    });
  }

  /**
   * Monotonic time in milliseconds up to which all rows were passed on; undefined before the first
   * snapshot.
   */
  get currentAt(): number | undefined {
    return this.#currentAt;
  }

  /** Consumes the feed until `stop` is called. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const hasSucceeded = await this.#advance();
      await sleep(
        hasSucceeded ? this.#options.pauseMs : RETRY_DELAY_MS * (0.5 + Math.random() / 2),
      );
    }
  }

  /** Ends the loop after the call in flight; its result is discarded. */
  stop(): void {
    this.#isStopped = true;
  }

  async #advance(): Promise<boolean> {
    this.#sentAt = performance.now();
    if (!this.#hasSnapshot) return this.#readSnapshot();
    return this.#version === undefined ? this.#beginAnew() : this.#poll(this.#version);
  }

  async #readSnapshot(): Promise<boolean> {
    const snapshot = await this.#scan((fault) => {
      if (fault === undefined) this.#recordSuccess();
      else this.#recordFailure(fault);
    });
    if (snapshot === undefined) return true;
    this.#recordSuccess();
    this.#hasSnapshot = true;
    this.#version = snapshot.version;
    this.#consumedAt = snapshot.currentAt;
    this.#options.onRows(snapshot.rows, true);
    this.#recordCurrent(snapshot.currentAt);
    return true;
  }

  async #scan(onFault?: ScanOptions['onFault']): Promise<ScanResult | undefined> {
    const { store, table, parts, pageSizer } = this.#options;
    this.#scannedFrom = performance.now();
    return scanRows({
      store,
      ranges: parts.map((part) => ({ table, part })),
      pageSizer,
      isActive: () => !this.#isStopped,
      ...(onFault === undefined ? {} : { onFault }),
    });
  }

  /** Goes on from the store's present version; what was missed before it is read beside the feed. */
  async #beginAnew(): Promise<boolean> {
    const { store, table, parts } = this.#options;
    const part = parts[this.#failedReads % parts.length] ?? '';
    const page = await store.read({ table, part, from: LAST_KEY, limit: 1 });
    if (this.#isStopped) return true;
    if (page.isErr()) {
      // The store may be down for one part only.
      this.#failedReads += 1;
      return this.#recordFailure(page.error);
    }
    this.#recordSuccess();
    this.#rescan.request(this.#consumedAt);
    this.#version = page.value.version;
    this.#consumedAt = page.value.currentAt;
    return true;
  }

  async #poll(version: number): Promise<boolean> {
    const { store, table, parts } = this.#options;
    const page = await pollOverlapping(store, { table, after: version, waitMs: POLL_WAIT_MS });
    if (this.#isStopped) return true;
    if (page.isErr()) {
      if (page.error.kind === StoreFaultKind.HistoryGone) this.#version = undefined;
      return this.#recordFailure(page.error);
    }
    this.#recordSuccess();
    this.#version = Math.max(version, page.value.version);
    this.#consumedAt = Math.max(this.#consumedAt, page.value.currentAt);
    // A page that was sent before the last scan may follow it.
    const rows = page.value.rows.filter(
      (row) => parts.includes(row.part) && row.version > this.#scannedVersion,
    );
    this.#rescan.record(rows);
    if (rows.length > 0) this.#options.onRows(rows, false);
    if (!this.#rescan.isRunning) this.#recordCurrent(this.#consumedAt);
    return true;
  }

  #recordCurrent(currentAt: number): void {
    this.#currentAt = Math.max(this.#currentAt ?? -Infinity, currentAt);
    this.#options.onCurrent?.(this.#currentAt);
  }

  /** Reports the first of consecutive failures; always returns false. */
  #recordFailure(fault: StoreFault): boolean {
    const now = performance.now();
    if (this.#outage === undefined) {
      this.#outage = { lostAt: now, failedCalls: 0, longestCallMs: 0 };
      this.#options.onLost?.(fault);
    }
    const callMs = now - this.#sentAt;
    this.#outage.failedCalls += 1;
    this.#outage.longestCallMs = Math.max(this.#outage.longestCallMs, callMs);
    return false;
  }

  #recordSuccess(): void {
    const outage = this.#outage;
    this.#outage = undefined;
    if (outage === undefined) return;
    const { failedCalls, longestCallMs, lostAt } = outage;
    const lostMs = performance.now() - lostAt;
    this.#options.onRegained?.({ lostMs, failedCalls, longestCallMs });
  }
}
