import type { ScanResult } from './row-scanner.ts';
import type { Row } from './store.ts';

/** Options of a rescan. */
export interface FeedRescanOptions {
  /** Reads all rows; undefined if they are no longer wanted. */
  readonly scan: () => Promise<ScanResult | undefined>;
  /**
   * Receives all rows, as new as the feed, and the version that each of them was read at or after.
   * `gapAt` is set if changes were missed again while the rows were read: the monotonic time in
   * milliseconds up to which the feed was complete before that.
   */
  readonly onRead: (snapshot: ScanResult, gapAt: number | undefined) => void;
}

/**
 * Reads a table anew beside its change feed, after the feed has missed changes. The feed has to go on
 * from a version that the store named before the scan, so that the two together miss nothing.
 */
export class FeedRescan {
  readonly #options: FeedRescanOptions;
  /** Rows that the feed has brought since the scan began, by part and key. */
  readonly #changed = new Map<string, Row>();
  #isRunning = false;
  /** End of the feed's rows before the first gap since the scan began; undefined without a gap. */
  #gapAt: number | undefined;

  constructor(options: FeedRescanOptions) {
    this.#options = options;
  }

  /** Whether there are missed changes that have not been read yet. */
  get isRunning(): boolean {
    return this.#isRunning;
  }

  /** Reads all rows, once more if a scan is running, since changes up to `gapAt` and no further are known. */
  request(gapAt: number): void {
    if (this.#isRunning) this.#gapAt ??= gapAt;
    else void this.#run();
  }

  /** Records rows that the feed has brought. */
  record(rows: readonly Row[]): void {
    if (!this.#isRunning) return;
    for (const row of rows) this.#changed.set(getRowId(row), row);
  }

  async #run(): Promise<void> {
    this.#isRunning = true;
    while (this.#isRunning) {
      const result = await this.#options.scan();
      if (result === undefined) return;
      const rows = this.#collectNewest(result);
      const gapAt = this.#gapAt;
      this.#isRunning = gapAt !== undefined;
      this.#gapAt = undefined;
      this.#changed.clear();
      this.#options.onRead({ ...result, rows }, gapAt);
    }
  }

  /** Collects the rows of the scan and those that the feed has brought, and of each the newer version. */
  #collectNewest({ rows: scanned, version }: ScanResult): Row[] {
    // All pages show what had changed up to the version, also what was deleted.
    const changed = new Map([...this.#changed].filter(([, row]) => row.version > version));
    const rows: Row[] = [];
    for (const row of scanned) {
      const id = getRowId(row);
      if ((changed.get(id)?.version ?? -1) > row.version) continue;
      changed.delete(id);
      rows.push(row);
    }
    return [...rows, ...[...changed.values()].filter(({ isDeleted }) => !isDeleted)];
  }
}

function getRowId({ part, key }: Row): string {
  return `${part}\0${key}`;
}
