import { StoreFaultKind, type Row, type Store, type StoreFault } from '@currantgap/store';
import { encodeLease, FENCE_ROW, LEASE_ROW, type LeaseRow } from './rows.ts';

/**
 * Least milliseconds without an answer after which a renewal is tried again beside the first try:
 * four tries fit into a lease, so that a few lost answers or writes do
 * not change the owner.
 */
const NEXT_TRY_MS = 240;
/** The next try waits this many times the last answer: a slow store must not get a queue of tries. */
const ANSWER_MULTIPLE = 2;
/** Most milliseconds before the next try: it still comes before the lease is over. */
const LONGEST_NEXT_TRY_MS = 900;

/** What became of a renewal. */
export enum RenewalOutcome {
  Written = 'written',
  /** An earlier renewal arrived late; the lease must be renewed again from its version. */
  Overtaken = 'overtaken',
  /** The fence has changed. */
  TakenOver = 'taken-over',
  /** The term ended meanwhile. */
  Abandoned = 'abandoned',
}

/** Result of a renewal. */
export interface RenewalResult {
  readonly outcome: RenewalOutcome;
  /** Version of the lease row now. */
  readonly version: number;
  /** Steady instant at which the try that was written was sent. */
  readonly sentAt: number;
  /** What the try that was written said; undefined where none was. */
  readonly lease: LeaseRow | undefined;
  /** Milliseconds that the answer which settled it took. */
  readonly answerMs: number;
}

/** Options of one renewal. */
export interface RenewalOptions {
  readonly store: Store;
  /** Version of the fence row in this term. */
  readonly fenceVersion: number;
  /** Version of the lease row as last known. */
  readonly version: number;
  /** Milliseconds that the store took to answer the renewal before. */
  readonly answerMs: number;
  readonly buildLease: () => LeaseRow;
  /** Tells whether the term goes on. */
  readonly isWanted: () => boolean;
  /** Told about each try that failed without saying who owns. */
  readonly onFault: (fault: StoreFault) => void;
}

/** One try of a renewal. */
interface Try {
  readonly lease: LeaseRow;
  readonly sentAt: number;
}

/** Renews the lease once, with tries that overlap until one shows what the row says. */
export class Renewal {
  readonly #options: RenewalOptions;
  /** Tries by what they wrote: a conflict shows which one was done without an answer. */
  readonly #tries = new Map<string, Try>();
  #timer: NodeJS.Timeout | undefined;
  #settle: (result: RenewalResult) => void = () => undefined;

  constructor(options: RenewalOptions) {
    this.#options = options;
  }

  /** Resolves when a try was written, another write was found or the term is over. */
  async run(): Promise<RenewalResult> {
    return new Promise((resolve) => {
      this.#settle = (result) => {
        clearTimeout(this.#timer);
        resolve(result);
      };
      this.#send();
    });
  }

  #send(): void {
    const { isWanted, buildLease } = this.#options;
    if (!isWanted()) {
      this.#report(RenewalOutcome.Abandoned, this.#options.answerMs);
      return;
    }
    const lease = buildLease();
    const attempt = { lease, sentAt: performance.now() };
    const value = encodeLease(lease);
    this.#tries.set(value, attempt);
    this.#timer = setTimeout(() => {
      this.#send();
    }, this.#computePause());
    void putLease(this.#options, value).then((result) => {
      const answerMs = performance.now() - attempt.sentAt;
      if (result.isErr()) this.#handleFault(result.error, answerMs);
      else this.#report(RenewalOutcome.Written, answerMs, result.value, attempt);
    });
  }

  #computePause(): number {
    const pauseMs = Math.max(NEXT_TRY_MS, ANSWER_MULTIPLE * this.#options.answerMs);
    return Math.min(pauseMs, LONGEST_NEXT_TRY_MS);
  }

  #handleFault(fault: StoreFault, answerMs: number): void {
    if (fault.kind !== StoreFaultKind.Conflict) {
      this.#options.onFault(fault);
      return;
    }
    const fence = findRow(fault.rows, FENCE_ROW.table);
    const lease = findRow(fault.rows, LEASE_ROW.table);
    if (fence?.version !== this.#options.fenceVersion || lease === undefined) {
      this.#report(RenewalOutcome.TakenOver, answerMs);
      return;
    }
    const written = this.#tries.get(lease.value);
    const outcome = written === undefined ? RenewalOutcome.Overtaken : RenewalOutcome.Written;
    this.#report(outcome, answerMs, lease.version, written);
  }

  #report(
    outcome: RenewalOutcome,
    answerMs: number,
    version = this.#options.version,
    written?: Try,
  ): void {
    this.#settle({
      outcome,
      version,
      answerMs,
      sentAt: written?.sentAt ?? 0,
      lease: written?.lease,
    });
  }
}

/** Writes the lease row while neither it nor the fence has changed. */
export async function putLease(
  options: Pick<RenewalOptions, 'store' | 'fenceVersion' | 'version'>,
  value: string,
): ReturnType<Store['commit']> {
  const { store, fenceVersion, version } = options;
  return store.commit({
    conditions: [
      { ...FENCE_ROW, version: fenceVersion },
      { ...LEASE_ROW, version },
    ],
    puts: [{ ...LEASE_ROW, value }],
    removals: [],
  });
}

function findRow(rows: readonly Row[], table: string): Row | undefined {
  return rows.find((row) => row.table === table);
}
