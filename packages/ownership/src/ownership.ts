import { setTimeout as sleep } from 'node:timers/promises';
import type { Logger } from '@currantgap/telemetry';
import { StoreFaultKind, type Store, type StoreFault } from '@currantgap/store';
import { computeWait, LEASE_MS } from './patience.ts';
import { putLease, Renewal, RenewalOutcome, type RenewalResult } from './renewal.ts';
import {
  decodeLease,
  encodeLease,
  FENCE_ROW,
  LEASE_ROW,
  type LeasedTarget,
  type LeaseRow,
} from './rows.ts';

/** Contenders wait longer by so many answers of the store: a renewal, and what is before it. */
const SLACK_ANSWERS = 2;
/** Most milliseconds by which a slow store makes contenders wait longer. */
const MAXIMUM_SLACK_MS = 2_000;
/**
 * Milliseconds that the first renewal of a term is taken to need: the new owner reads all jobs and
 * asks all targets what they run, which keeps a weak processor busy for about a second.
 */
const FIRST_ANSWER_MS = 700;
/** Milliseconds between two renewals. */
const RENEWAL_MS = 300;
/** Milliseconds after a renewal in which an owner may order VMs: two renewals and an answer. */
export const FRESH_MS = 700;
/** Milliseconds before a failed call is repeated. */
const RETRY_MS = 150;
/** Longest wait of one poll, so that a stop is noticed. */
const POLL_MS = 2_000;
/** Shortest wait of one poll. */
const MINIMUM_POLL_MS = 20;

/** One node's time as the owner. */
export interface Term {
  readonly epoch: number;
  /** Fencing token of all orders of this term: the version of the take-over. */
  readonly token: number;
  /** Version of the fence row, a condition of all writes of this term. */
  readonly fenceVersion: number;
  /** What the predecessor's lease row said. */
  readonly predecessor: LeaseRow | undefined;
  /** Milliseconds for which that row had been seen unchanged at the take-over. */
  readonly predecessorAgeMs: number;
}

/** What an owner tells its successor with each renewal. */
export interface TermReport {
  /** Targets on which this node may hold leases. */
  readonly targets: readonly LeasedTarget[];
  /** Milliseconds since the last order for a VM. */
  readonly vmOrderAgeMs: number | undefined;
}

/** Told about changes of the owner. */
export abstract class OwnershipListener {
  abstract handleTaken(term: Term): void;
  abstract handleLost(reason: string): void;
  /** What the next renewal writes. */
  abstract describeTerm(): TermReport;
  /** Told when a renewal has been written. */
  abstract handleRenewed(report: TermReport): void;
}

/** Options of a contender. */
export interface OwnershipOptions {
  readonly store: Store;
  readonly logger: Logger;
  readonly node: string;
  readonly incarnation: string;
  readonly address: string;
  /** Milliseconds that this node waits beyond the lease, so that contenders do not collide. */
  readonly patienceMs: number;
  readonly listener: OwnershipListener;
}

/** Watches the owner's lease, takes it when it has lapsed, renews it and hands it over. */
export class Ownership {
  readonly #options: OwnershipOptions;
  #term: Term | undefined;
  #lease: LeaseRow | undefined;
  #leaseVersion = 0;
  /** Position in the feed; undefined before the first read. */
  #feedVersion: number | undefined;
  /** Steady instant since which the lease row is known to be unchanged. */
  #unchangedSince = 0;
  #isFailing = false;
  /** A call failed in this lifetime: the owner may not have been able to renew either. */
  #hasFailed = false;
  #isStopped = false;
  /** Steady instant at which the last renewal that succeeded was sent. */
  #confirmedAt = 0;
  /** Milliseconds that the store took to answer the last renewal. */
  #answerMs = 0;
  /** Epoch of this process's last term; a term that was given up is not taken up again. */
  #lastEpoch = 0;
  /** The lease that the last try to take over was made against, and since when it had stood. */
  #contested: { readonly lease: LeaseRow | undefined; readonly since: number } | undefined;

  constructor(options: OwnershipOptions) {
    this.#options = options;
  }

  /** The lease as last seen. */
  get lease(): LeaseRow | undefined {
    return this.#lease;
  }

  get term(): Term | undefined {
    return this.#term;
  }

  /** Tells whether a renewal was written so lately that no other node can own for long yet. */
  get isFresh(): boolean {
    return this.#term !== undefined && performance.now() - this.#confirmedAt < FRESH_MS;
  }

  /** Tells whether no other node can have taken over yet, as far as this node's clock says. */
  get isConfirmed(): boolean {
    return this.#term !== undefined && performance.now() - this.#confirmedAt < LEASE_MS;
  }

  /** Watches or renews until it is stopped. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      if (this.#term === undefined) await this.#watch();
      else await this.#renew(this.#term);
    }
  }

  /** Gives the term up: another owner was seen. */
  drop(reason: string): void {
    if (this.#term === undefined) return;
    this.#term = undefined;
    this.#feedVersion = undefined;
    this.#options.listener.handleLost(reason);
  }

  /** Stops contending and, as the owner, hands over. */
  async release(successor: string | undefined): Promise<void> {
    this.#isStopped = true;
    const term = this.#term;
    if (term === undefined) return;
    this.drop('released');
    const lease = { ...this.#buildLease(term.epoch), isReleased: true, successor };
    const { fenceVersion } = term;
    const target = { store: this.#options.store, fenceVersion, version: this.#leaseVersion };
    const result = await putLease(target, encodeLease(lease));
    this.#options.logger.writeInfo('ownership released', {
      epoch: term.epoch,
      successor: successor ?? '',
      outcome: result.isOk() ? 'written' : result.error.message,
    });
  }

  async #watch(): Promise<void> {
    const found = this.#feedVersion === undefined ? await this.#read() : await this.#poll();
    if (!found) {
      await sleep(RETRY_MS);
      return;
    }
    if (this.#isStopped || this.#term !== undefined) return;
    if (this.#isOwn()) this.#begin(this.#leaseVersion);
    else if (this.#computeWait() <= 0) await this.#takeOver();
  }

  async #read(): Promise<boolean> {
    const { table, part } = LEASE_ROW;
    const page = await this.#options.store.read({ table, part });
    if (page.isErr()) return this.#fail(page.error);
    this.#recover();
    this.#feedVersion = page.value.version;
    const [row] = page.value.rows;
    if (row === undefined) this.#observe(undefined, 0);
    else if (row.version !== this.#leaseVersion) this.#observe(row.value, row.version);
    return true;
  }

  async #poll(): Promise<boolean> {
    const waitMs = Math.min(POLL_MS, Math.max(MINIMUM_POLL_MS, this.#computeWait()));
    const { table } = LEASE_ROW;
    const after = this.#feedVersion ?? 0;
    const page = await this.#options.store.poll({ table, after, waitMs });
    if (page.isErr()) {
      if (page.error.kind === StoreFaultKind.HistoryGone) this.#feedVersion = undefined;
      return this.#fail(page.error);
    }
    this.#recover();
    this.#feedVersion = Math.max(after, page.value.version);
    const row = page.value.rows.at(-1);
    if (row !== undefined) this.#observe(row.isDeleted ? undefined : row.value, row.version);
    return true;
  }

  #observe(value: string | undefined, version: number): void {
    const previous = this.#lease;
    this.#lease = value === undefined ? undefined : decodeLease(value);
    this.#leaseVersion = version;
    this.#unchangedSince = performance.now();
    if (previous?.incarnation === this.#lease?.incarnation) return;
    this.#options.logger.writeInfo('owner seen', {
      owner: this.#lease?.node ?? '',
      epoch: this.#lease?.epoch ?? 0,
      version,
    });
  }

  /** An owner that could not reach the store either gets a whole lease to renew after an outage. */
  #recover(): void {
    if (!this.#isFailing) return;
    this.#isFailing = false;
    this.#unchangedSince = performance.now();
  }

  #fail(fault: StoreFault): boolean {
    if (fault.kind === StoreFaultKind.HistoryGone) return false;
    this.#isFailing = true;
    this.#hasFailed = true;
    return false;
  }

  /** A take-over without an answer may have been carried out: the row then names this process. */
  #isOwn(): boolean {
    const lease = this.#lease;
    if (lease?.incarnation !== this.#options.incarnation) return false;
    return !lease.isReleased && lease.epoch > this.#lastEpoch;
  }

  /** Milliseconds until this node may take over. */
  #computeWait(): number {
    const { node, patienceMs, store } = this.#options;
    return computeWait({
      lease: this.#lease,
      node,
      patienceMs,
      unchangedMs: performance.now() - this.#unchangedSince,
      // After a failed call the owner may not have been able to renew either.
      storeNow: this.#hasFailed ? undefined : store.now,
    });
  }

  async #takeOver(): Promise<void> {
    const epoch = (this.#lease?.epoch ?? 0) + 1;
    this.#contested = { lease: this.#lease, since: this.#unchangedSince };
    this.#answerMs = FIRST_ANSWER_MS;
    const value = encodeLease(this.#buildLease(epoch));
    const sentAt = performance.now();
    const result = await this.#options.store.commit({
      conditions: [{ ...LEASE_ROW, version: this.#leaseVersion }],
      puts: [
        { ...LEASE_ROW, value },
        { ...FENCE_ROW, value: String(epoch) },
      ],
      removals: [],
    });
    if (result.isErr()) {
      // Whatever became of the write, the row says who owns: read it again.
      this.#feedVersion = undefined;
      this.#options.logger.writeInfo('take-over not confirmed', {
        epoch,
        reason: result.error.message,
      });
      if (result.error.kind !== StoreFaultKind.Conflict) await sleep(RETRY_MS);
      return;
    }
    this.#confirmedAt = sentAt;
    this.#begin(result.value);
  }

  #begin(version: number): void {
    const predecessor = this.#contested?.lease;
    const epoch = (predecessor?.epoch ?? 0) + 1;
    this.#leaseVersion = version;
    this.#lease = this.#buildLease(epoch);
    this.#feedVersion = undefined;
    this.#lastEpoch = epoch;
    const predecessorAgeMs = performance.now() - (this.#contested?.since ?? 0);
    this.#term = { epoch, token: version, fenceVersion: version, predecessor, predecessorAgeMs };
    this.#options.logger.writeInfo('ownership taken', {
      epoch,
      token: version,
      predecessor: predecessor?.node ?? '',
    });
    this.#options.listener.handleTaken(this.#term);
  }

  async #renew(term: Term): Promise<void> {
    await sleep(RENEWAL_MS);
    if (this.#term !== term) return;
    let result = await this.#sendRenewal(term);
    // The lease runs on: what an earlier renewal wrote late is renewed at once.
    while (result.outcome === RenewalOutcome.Overtaken) {
      this.#leaseVersion = result.version;
      result = await this.#sendRenewal(term);
    }
    if (this.#term !== term) return;
    if (result.outcome === RenewalOutcome.TakenOver) {
      this.drop('another node took over');
      return;
    }
    if (result.lease === undefined) return;
    this.#leaseVersion = result.version;
    this.#confirmedAt = result.sentAt;
    this.#options.listener.handleRenewed(result.lease);
    if (this.#isFailing) this.#options.logger.writeInfo('lease renewed again');
    this.#isFailing = false;
  }

  async #sendRenewal(term: Term): Promise<RenewalResult> {
    const renewal = new Renewal({
      store: this.#options.store,
      fenceVersion: term.fenceVersion,
      version: this.#leaseVersion,
      answerMs: this.#answerMs,
      buildLease: () => this.#buildLease(term.epoch),
      isWanted: () => this.#term === term,
      onFault: ({ message }) => {
        if (this.#term !== term || this.#isFailing) return;
        this.#options.logger.writeWarning('lease not renewed', { reason: message });
        this.#isFailing = true;
      },
    });
    const result = await renewal.run();
    this.#answerMs = result.answerMs;
    return result;
  }

  #buildLease(epoch: number): LeaseRow {
    const { node, incarnation, address, listener, store } = this.#options;
    const slackMs = Math.min(MAXIMUM_SLACK_MS, Math.round(SLACK_ANSWERS * this.#answerMs));
    return {
      ...listener.describeTerm(),
      node,
      incarnation,
      address,
      epoch,
      isReleased: false,
      successor: undefined,
      slackMs,
      expiresAt: store.now === undefined ? undefined : Math.round(store.now + LEASE_MS + slackMs),
    };
  }
}
