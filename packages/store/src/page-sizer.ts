/** Rows of the first page: few, since the throughput of the link is not known yet. */
const INITIAL_ROWS = 16;
const MINIMUM_ROWS = 4;
/** The store returns at most this many rows per page. */
const MAXIMUM_ROWS = 500;
/** Milliseconds that a page should take at most, since other calls wait for it on the same link. */
const TARGET_PAGE_MS = 100;
/** Pages that take less than this share of the target are enlarged. */
const ENLARGE_BELOW = 0.5;
const ENLARGE_FACTOR = 2;

/** Adapts the number of rows per page to the measured throughput of the link to the store. */
export class PageSizer {
  #rows = INITIAL_ROWS;

  /** Number of rows to request per page. */
  get rows(): number {
    return this.#rows;
  }

  /** Records a page whose bytes took `transferMs` to arrive, without the latency of the store. */
  recordPage(rows: number, transferMs: number): void {
    if (transferMs > TARGET_PAGE_MS) {
      this.#setRows((rows * TARGET_PAGE_MS) / transferMs);
      return;
    }
    // A page that was not full says nothing about larger ones.
    const isFull = rows >= this.#rows;
    if (isFull && transferMs < ENLARGE_BELOW * TARGET_PAGE_MS) {
      this.#setRows(this.#rows * ENLARGE_FACTOR);
    }
  }

  /** Records a page that did not arrive in time. */
  recordTimeout(): void {
    this.#setRows(this.#rows / ENLARGE_FACTOR);
  }

  #setRows(rows: number): void {
    this.#rows = Math.max(MINIMUM_ROWS, Math.min(MAXIMUM_ROWS, Math.floor(rows)));
  }
}
