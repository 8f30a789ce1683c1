import { StoreFaultKind, type Row, type Store, type StoreFault } from '@currantgap/store';
import { Stopwatch } from '@currantgap/tasks';
import { encodeLease, FENCE_ROW, LEASE_ROW, type LeaseRow } from './rows.ts';

/**
 * Minimum milliseconds without a response after which another attempt is sent in parallel. Four
 * attempts fit into a lease, so that a few lost requests or responses do not change the owner.
 */
const MINIMUM_ATTEMPT_DELAY_MS = 240;
/** Attempt delay as a multiple of the previous latency, so that no queue forms at a slow store. */
const LATENCY_MULTIPLE = 2;
/** Maximum milliseconds before another attempt, so that it is still sent before lease expiry. */
const MAXIMUM_ATTEMPT_DELAY_MS = 900;

/** Outcome of a renewal. */
export enum RenewalOutcome {
  Written = 'written',
  /** A delayed write of an earlier renewal changed the row; renew again from its version. */
  Overtaken = 'overtaken',
  /** The fence row has changed or the lease row is gone. */
  TakenOver = 'taken-over',
  /** The term ended before an attempt succeeded. */
  Abandoned = 'abandoned',
}

/** Result of a renewal. */
export interface RenewalResult {
  readonly outcome: RenewalOutcome;
  /** Version of the lease row after the renewal. */
  readonly version: number;
  /** The attempt that was written; undefined if there is none. */
  readonly written: WrittenLease | undefined;
  /** Milliseconds that the response which decided the outcome took. */
  readonly latencyMs: number;
}

/** A lease that was written, and when it was sent. */
export interface WrittenLease {
  readonly lease: LeaseRow;
  readonly sentWatch: Stopwatch;
}

/** Options of one renewal. */
export interface RenewalOptions {
  readonly store: Store;
  /** Version of the fence row in this term. */
  readonly fenceVersion: number;
  /** Last known version of the lease row. */
  readonly version: number;
  /** Milliseconds that the response to the previous renewal took. */
  readonly previousLatencyMs: number;
  /** Builds the lease that an attempt writes. */
  readonly buildLease: () => LeaseRow;
  /** Whether the term still lasts; no attempt is sent after it has ended. */
  readonly isTermActive: () => boolean;
  /** Called for each attempt that fails without showing who the owner is. */
  readonly onFault: (fault: StoreFault) => void;
}

/** One attempt at a renewal. */
interface Attempt extends WrittenLease {
  /** Monotonic time, in milliseconds. */
  readonly sentAt: number;
}

/** Renews the lease once: sends overlapping attempts until one shows the current lease row. */
export class Renewal {
  readonly #options: RenewalOptions;
  /** Attempts by written value: a conflict shows which one was written without a response. */
  readonly #attempts = new Map<string, Attempt>();
  #timer: NodeJS.Timeout | undefined;
  #settle: (result: RenewalResult) => void = () => undefined;

  constructor(options: RenewalOptions) {
    this.#options = options;
  }

  /** Resolves when an attempt was written, another write was found or the term has ended. */
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
    const { isTermActive, buildLease } = this.#options;
    if (!isTermActive()) {
      this.#report(RenewalOutcome.Abandoned, this.#options.previousLatencyMs);
      return;
    }
    const lease = buildLease();
    const attempt = { lease, sentAt: performance.now(), sentWatch: new Stopwatch() };
    const value = encodeLease(lease);
    this.#attempts.set(value, attempt);
    this.#timer = setTimeout(() => {
      this.#send();
    }, this.#computeAttemptDelay());
    void putLease(this.#options, value).then((result) => {
      const latencyMs = performance.now() - attempt.sentAt;
      if (result.isErr()) this.#handleFault(result.error, latencyMs);
      else this.#report(RenewalOutcome.Written, latencyMs, result.value, attempt);
    });
  }

  #computeAttemptDelay(): number {
    const delayMs = Math.max(
      MINIMUM_ATTEMPT_DELAY_MS,
      LATENCY_MULTIPLE * this.#options.previousLatencyMs,
    );
    return Math.min(delayMs, MAXIMUM_ATTEMPT_DELAY_MS);
  }

  #handleFault(fault: StoreFault, latencyMs: number): void {
    if (fault.kind !== StoreFaultKind.Conflict) {
      this.#options.onFault(fault);
      return;
    }
    const version = findCurrentVersion(fault, this.#options.fenceVersion);
    if (version === undefined) {
      this.#report(RenewalOutcome.TakenOver, latencyMs);
      return;
    }
    const written = this.#attempts.get(findRow(fault.rows, LEASE_ROW.table)?.value ?? '');
    const outcome = written === undefined ? RenewalOutcome.Overtaken : RenewalOutcome.Written;
    this.#report(outcome, latencyMs, version, written);
  }

  #report(
    outcome: RenewalOutcome,
    latencyMs: number,
    version = this.#options.version,
    written?: Attempt,
  ): void {
    this.#settle({ outcome, version, latencyMs, written });
  }
}

/** Writes the lease row on condition that neither it nor the fence row has changed. */
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

/**
 * Finds the version of the lease row after a conflict; undefined if the fence row has changed or the
 * lease row is gone, so that another node has taken over.
 */
export function findCurrentVersion(fault: StoreFault, fenceVersion: number): number | undefined {
  if (findRow(fault.rows, FENCE_ROW.table)?.version !== fenceVersion) return undefined;
  return findRow(fault.rows, LEASE_ROW.table)?.version;
}

function findRow(rows: readonly Row[], table: string): Row | undefined {
  return rows.find((row) => row.table === table);
}
