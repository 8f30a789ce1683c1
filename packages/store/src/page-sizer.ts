/** Bytes of a row on the wire, from which the first window is computed: those of a submission. */
const ASSUMED_ROW_BYTES = 2_200;
/** Megabits per second that are assumed of a link whose bandwidth is not known. */
const ASSUMED_LINK_MBPS = 5;
const BYTES_PER_MEGABIT = 125_000;
const MILLISECONDS_PER_SECOND = 1_000;
const MINIMUM_WINDOW = 4;
const MAXIMUM_WINDOW = 4_000;
/** Rows of the smallest page that is worth a call of its own beside others. */
const MINIMUM_CONCURRENT_ROWS = 16;
/** Pages in flight at the same time while the window is large. */
const MAXIMUM_CONCURRENCY = 12;
/** The store returns at most this many rows per page. */
const MAXIMUM_ROWS = 500;
/** Milliseconds that the pages in flight should take, since other calls wait for them on the link. */
const TARGET_TRANSFER_MS = 100;
/** Pages that take less than this share of the target enlarge the window. */
const ENLARGE_BELOW = 0.5;
/**
 * Milliseconds within which the rows in flight must arrive for the window to grow to them: more than
 * twice the 300 ms that a slow store takes to respond, so that the window still doubles there, and
 * less than the 800 ms after which a call that waits behind them on the link is given up.
 */
const MAXIMUM_ARRIVAL_MS = 700;
const ENLARGE_FACTOR = 2;

/** Marks the begin of a page: when it was requested, and what had arrived before. */
export interface PageStart {
  /** Monotonic time in milliseconds. */
  readonly at: number;
  /** Rows of all pages that had arrived. */
  readonly arrivedRows: number;
}

/**
 * Limits the rows that all scans of a process request at the same time, and adapts the limit to the
 * measured throughput of the link to the store.
 */
export class PageSizer {
  /** Rows that should be in flight at most. */
  #window: number;
  #pagesInFlight = 0;
  /** Rows of all pages that have arrived. */
  #arrivedRows = 0;
  readonly #now: () => number;
  readonly #waiting: (() => void)[] = [];

  /**
   * `linkMbps` is the nominal bandwidth of the link in megabits per second, infinite if unknown;
   * `now` returns the monotonic time in milliseconds.
   */
  constructor(linkMbps: number, now: () => number = () => performance.now()) {
    this.#now = now;
    const knownMbps = Number.isFinite(linkMbps) ? linkMbps : ASSUMED_LINK_MBPS;
    const bytes = knownMbps * BYTES_PER_MEGABIT * (TARGET_TRANSFER_MS / MILLISECONDS_PER_SECOND);
    this.#window = computeWindow(bytes / ASSUMED_ROW_BYTES);
  }

  /** Rows to request per page. */
  get rows(): number {
    const shared = Math.floor(this.#window / MAXIMUM_CONCURRENCY);
    const rows = Math.max(Math.min(MINIMUM_CONCURRENT_ROWS, this.#window), shared);
    return Math.min(MAXIMUM_ROWS, rows);
  }

  /** Pages that may be in flight at the same time. */
  get concurrency(): number {
    return Math.max(1, Math.floor(this.#window / this.rows));
  }

  /** Waits until another page may be requested; `release` must be called after it. */
  async acquire(): Promise<void> {
    if (this.#pagesInFlight < this.concurrency) this.#pagesInFlight += 1;
    else await new Promise<void>((resolve) => this.#waiting.push(resolve));
  }

  /** Records that a page is no longer in flight. */
  release(): void {
    this.#pagesInFlight -= 1;
    while (this.#pagesInFlight < this.concurrency && this.#waiting.length > 0) {
      this.#pagesInFlight += 1;
      this.#waiting.shift()?.();
    }
  }

  /** Begins a page, right before it is requested. */
  beginPage(): PageStart {
    return { at: this.#now(), arrivedRows: this.#arrivedRows };
  }

  /**
   * Records a page of which `requestedRows` were requested and whose bytes took `transferMs` to
   * arrive, without the latency of the store. `start` is what `beginPage` returned.
   */
  recordPage(requestedRows: number, rows: number, transferMs: number, start?: PageStart): void {
    this.#arrivedRows += rows;
    if (transferMs > TARGET_TRANSFER_MS) {
      this.#window = computeWindow((this.#window * TARGET_TRANSFER_MS) / transferMs);
      return;
    }
    // A page that was not full says nothing about larger ones.
    const isFull = rows >= requestedRows;
    if (isFull && transferMs < ENLARGE_BELOW * TARGET_TRANSFER_MS) this.#extendWindow(start);
  }

  /** Records a page that did not arrive in time. */
  recordTimeout(): void {
    this.#window = computeWindow(this.#window / ENLARGE_FACTOR);
  }

  /**
   * Enlarges the window, but not beyond the rows that the link has been seen to carry: a page that
   * arrives in one piece has waited behind others on the link although its transfer takes no time.
   */
  #extendWindow(start: PageStart | undefined): void {
    const enlarged = Math.min(this.#window * ENLARGE_FACTOR, this.#computeCarriedRows(start));
    this.#window = computeWindow(Math.max(this.#window, enlarged));
  }

  /** Computes the rows that arrive in time at the rate seen while a page was in flight. */
  #computeCarriedRows(start: PageStart | undefined): number {
    if (start === undefined) return Infinity;
    const rowsPerMs = (this.#arrivedRows - start.arrivedRows) / (this.#now() - start.at);
    return rowsPerMs * MAXIMUM_ARRIVAL_MS;
  }
}

function computeWindow(rows: number): number {
  return Math.max(MINIMUM_WINDOW, Math.min(MAXIMUM_WINDOW, Math.floor(rows)));
}
