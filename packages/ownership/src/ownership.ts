import { setTimeout as sleep } from 'node:timers/promises';
import { StoreFaultKind, type StoreFault } from '@currantgap/store';
import { Stopwatch } from '@currantgap/tasks';
import {
  computeRemainingWait,
  computeWatchPause,
  LEASE_MS,
  type LeaseView,
} from './take-over-timing.ts';
import { buildLease, addEarlierLeases } from './lease-builder.ts';
import { Renewal, RenewalOutcome, type RenewalResult } from './renewal.ts';
import { RELEASE_WRITTEN, writeRelease } from './release.ts';
import { decodeLease, encodeLease, FENCE_ROW, LEASE_ROW, type LeaseRow } from './rows.ts';
import type { OwnershipOptions, Term } from './term.ts';
import { WatchPause } from './watch-pause.ts';

/** Milliseconds between two renewals. */
const RENEWAL_INTERVAL_MS = 300;
/** Milliseconds after a renewal in which VMs may be ordered: two intervals and a response. */
export const FRESH_LEASE_MS = 700;
/** Milliseconds before a failed call is retried. */
const RETRY_DELAY_MS = 150;
/** Maximum milliseconds of one poll, so that a stop is noticed. */
const MAXIMUM_POLL_MS = 2_000;
/** Minimum milliseconds of one poll. */
const MINIMUM_POLL_MS = 20;

/** Contends for the owner's lease: takes it over after expiry, renews it and releases it. */
export class Ownership {
  readonly #options: OwnershipOptions;
  #term: Term | undefined;
  #lease: LeaseRow | undefined;
  /** Version of the lease row as last seen or written; 0 if there is no row. */
  #leaseVersion = 0;
  /** Position in the change feed; undefined when the lease row must be read first. */
  #feedVersion: number | undefined;
  /** Monotonic time since which the lease row has been seen unchanged, in milliseconds. */
  #unchangedSince = 0;
  /** Whether calls to the store are failing. */
  #isFailing = false;
  /** Whether any read or poll has failed; the owner may not have been able to renew then either. */
  #hasFailed = false;
  #isStopped = false;
  /** Measures the time since the last successful renewal was sent. */
  #renewalWatch = new Stopwatch();
  /** Latency in milliseconds of the last renewal. */
  #latencyMs = 0;
  /** Latency in milliseconds of the last read of the lease row. */
  #readLatencyMs = 0;
  /** Number of consecutive terms before this one that ended before their owner had settled. */
  #unsettledTerms = 0;
  /** Epoch of this process's last term; a term that has ended is never resumed. */
  #lastEpoch = 0;
  /** Lease that the last take-over attempt replaces. */
  #replaced: LeaseRow | undefined;
  readonly #pause = new WatchPause();

  constructor(options: OwnershipOptions) {
    this.#options = options;
  }

  /** The lease row as last seen or written. */
  get lease(): LeaseRow | undefined {
    return this.#lease;
  }

  /** The current term; undefined while this node is not the owner. */
  get term(): Term | undefined {
    return this.#term;
  }

  /** Whether the lease was renewed so recently that no other node can have been owner for long. */
  get isLeaseFresh(): boolean {
    return this.#term !== undefined && this.#renewalWatch.elapsedMs < FRESH_LEASE_MS;
  }

  /** Whether, by this node's clock, the lease is valid and no other node can have taken over. */
  get isLeaseValid(): boolean {
    return this.#term !== undefined && this.#renewalWatch.elapsedMs < LEASE_MS;
  }

  /** Watches the lease, or renews it as the owner, until `release` is called. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      if (this.#term === undefined) await this.#watch();
      else await this.#renew(this.#term);
    }
  }

  /** Watches the lease again at once: the owner was lost, did not answer or has released it. */
  endPause(): void {
    this.#pause.end();
  }

  /** Ends the term on this node, as when another node has taken over; does not write the lease. */
  endTerm(reason: string): void {
    if (this.#term === undefined) return;
    this.#term = undefined;
    this.#feedVersion = undefined;
    this.#options.listener.handleLost(reason);
  }

  /** Stops contending. The owner also releases its lease, so that a successor takes over at once. */
  async release(): Promise<void> {
    this.#isStopped = true;
    this.endPause();
    const term = this.#term;
    if (term === undefined) return;
    const { listener, logger, store } = this.#options;
    const report = listener.describeTerm();
    this.endTerm('released');
    const lease = { ...this.#buildLease(term.epoch, report), isReleased: true };
    const sentAt = performance.now();
    const options = { store, fenceVersion: term.fenceVersion, version: this.#leaseVersion };
    const outcome = await writeRelease(options, encodeLease(lease));
    if (outcome === RELEASE_WRITTEN)
      listener.handleRenewed(lease, term.token, performance.now() - sentAt);
    const successors = lease.successors.join(' ');
    logger.writeInfo('ownership released', { epoch: term.epoch, successors, outcome });
  }

  async #watch(): Promise<void> {
    const version = this.#leaseVersion;
    const hasSucceeded =
      this.#feedVersion === undefined ? await this.#readLease() : await this.#poll();
    if (!hasSucceeded) {
      await sleep(RETRY_DELAY_MS);
      return;
    }
    if (this.#isStopped || this.#term !== undefined) return;
    if (this.#isOwnTakeOver()) this.#beginTerm(this.#leaseVersion);
    else if (await this.#isTakeOverDue()) await this.#takeOver();
    else if (this.#leaseVersion !== version) await this.#pauseAfterRenewal();
  }

  async #pauseAfterRenewal(): Promise<void> {
    if (this.#isStopped || !this.#options.isConnectedTo(this.#lease?.epoch ?? 0)) return;
    await this.#pause.waitUntil(performance.now() + computeWatchPause(this.#buildView()));
  }

  /**
   * Whether this node may take over. Unless the lease was released, reads it once more: the owner may
   * have renewed it meanwhile, or may only be as slow as the store.
   */
  async #isTakeOverDue(): Promise<boolean> {
    if (this.#computeRemainingWait() > 0) return false;
    if (this.#lease === undefined || this.#lease.isReleased) return true;
    if (!(await this.#readLease()) || this.#isStopped) return false;
    return this.#computeRemainingWait() <= 0;
  }

  async #readLease(): Promise<boolean> {
    const { table, part } = LEASE_ROW;
    const sentAt = performance.now();
    const page = await this.#options.store.read({ table, part });
    if (page.isErr()) return this.#recordFailure(page.error);
    this.#recordSuccess();
    this.#readLatencyMs = performance.now() - sentAt;
    this.#feedVersion = page.value.version;
    const [row] = page.value.rows;
    if (row === undefined) this.#recordLease(undefined, 0);
    else if (row.version !== this.#leaseVersion) this.#recordLease(row.value, row.version);
    return true;
  }

  async #poll(): Promise<boolean> {
    const waitMs = Math.min(
      MAXIMUM_POLL_MS,
      Math.max(MINIMUM_POLL_MS, this.#computeRemainingWait()),
    );
    const { table } = LEASE_ROW;
    const after = this.#feedVersion ?? 0;
    const page = await this.#options.store.poll({ table, after, waitMs });
    if (page.isErr()) {
      if (page.error.kind === StoreFaultKind.HistoryGone) this.#feedVersion = undefined;
      return this.#recordFailure(page.error);
    }
    this.#recordSuccess();
    this.#feedVersion = Math.max(after, page.value.version);
    const row = page.value.rows.at(-1);
    if (row !== undefined) this.#recordLease(row.isDeleted ? undefined : row.value, row.version);
    return true;
  }

  #recordLease(value: string | undefined, version: number): void {
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

  /**
   * After an outage, restarts the wait for lease expiry. The owner may not have reached the store
   * either and gets a whole lease to renew.
   */
  #recordSuccess(): void {
    if (!this.#isFailing) return;
    this.#isFailing = false;
    this.#unchangedSince = performance.now();
  }

  /** Records a failed call, except for lost feed history; always returns false. */
  #recordFailure(fault: StoreFault): boolean {
    if (fault.kind === StoreFaultKind.HistoryGone) return false;
    this.#isFailing = true;
    this.#hasFailed = true;
    return false;
  }

  /** Whether the lease row shows a take-over by this process that got no response. */
  #isOwnTakeOver(): boolean {
    const lease = this.#lease;
    if (lease?.incarnation !== this.#options.incarnation) return false;
    return !lease.isReleased && lease.epoch > this.#lastEpoch;
  }

  /** Computes the milliseconds until this node may take over. */
  #computeRemainingWait(): number {
    return computeRemainingWait(this.#buildView());
  }

  #buildView(): LeaseView {
    const { node, takeOverDelayMs, store } = this.#options;
    return {
      lease: this.#lease,
      node,
      takeOverDelayMs,
      unchangedMs: performance.now() - this.#unchangedSince,
      // After a failed call, the owner may have been unable to renew too.
      storeNow: this.#hasFailed ? undefined : store.now,
      storeLatencyMs: this.#readLatencyMs,
    };
  }

  async #takeOver(): Promise<void> {
    const epoch = (this.#lease?.epoch ?? 0) + 1;
    this.#replaced = this.#lease;
    this.#unsettledTerms = this.#lease?.isSettled === false ? this.#lease.unsettledTerms + 1 : 0;
    this.#latencyMs = 0;
    const value = encodeLease(this.#buildFirstLease(epoch));
    const sentWatch = new Stopwatch();
    const result = await this.#options.store.commit({
      conditions: [{ ...LEASE_ROW, version: this.#leaseVersion }],
      puts: [
        { ...LEASE_ROW, value },
        { ...FENCE_ROW, value: String(epoch) },
      ],
      removals: [],
    });
    if (result.isErr()) {
      // The write may have been applied: read the row to see who the owner is.
      this.#feedVersion = undefined;
      this.#options.logger.writeInfo('take-over not confirmed', {
        epoch,
        reason: result.error.message,
      });
      if (result.error.kind !== StoreFaultKind.Conflict) await sleep(RETRY_DELAY_MS);
      return;
    }
    this.#renewalWatch = sentWatch;
    this.#beginTerm(result.value);
  }

  #beginTerm(version: number): void {
    const predecessor = this.#replaced;
    const epoch = (predecessor?.epoch ?? 0) + 1;
    this.#leaseVersion = version;
    this.#lease = this.#buildFirstLease(epoch);
    this.#feedVersion = undefined;
    this.#lastEpoch = epoch;
    this.#term = { epoch, token: version, fenceVersion: version, predecessor };
    this.#options.logger.writeInfo('ownership taken', {
      epoch,
      token: version,
      predecessor: predecessor?.node ?? '',
      unsettledTerms: this.#unsettledTerms,
    });
    this.#options.listener.handleTaken(this.#term);
  }

  async #renew(term: Term): Promise<void> {
    // A renewal whose response came late is old already, and contenders count from its write.
    if (this.isLeaseFresh) await sleep(RENEWAL_INTERVAL_MS);
    if (this.#term !== term) return;
    let result = await this.#sendRenewal(term);
    // Renews at once after a delayed write of an earlier renewal, since the lease keeps running.
    while (result.outcome === RenewalOutcome.Overtaken) {
      this.#leaseVersion = result.version;
      result = await this.#sendRenewal(term);
    }
    if (this.#term !== term) return;
    if (result.outcome === RenewalOutcome.TakenOver) {
      this.endTerm('another node took over');
      return;
    }
    if (result.written === undefined) return;
    this.#leaseVersion = result.version;
    this.#renewalWatch = result.written.sentWatch;
    const { written, version, latencyMs } = result;
    this.#options.listener.handleRenewed(written.lease, version, latencyMs);
    if (this.#isFailing) this.#options.logger.writeInfo('lease renewed again');
    this.#isFailing = false;
  }

  async #sendRenewal(term: Term): Promise<RenewalResult> {
    const renewal = new Renewal({
      store: this.#options.store,
      fenceVersion: term.fenceVersion,
      version: this.#leaseVersion,
      previousLatencyMs: this.#latencyMs,
      buildLease: () => this.#buildLease(term.epoch),
      isTermActive: () => this.#term === term,
      onFault: ({ message }) => {
        if (this.#term !== term || this.#isFailing) return;
        this.#options.logger.writeWarning('lease not renewed', { reason: message });
        this.#isFailing = true;
      },
    });
    const result = await renewal.run();
    this.#latencyMs = result.latencyMs;
    return result;
  }

  /** Builds the row of a take-over. */
  #buildFirstLease(epoch: number): LeaseRow {
    const report = this.#options.listener.describeTerm();
    return this.#buildLease(epoch, addEarlierLeases(report, this.#replaced));
  }

  #buildLease(epoch: number, report = this.#options.listener.describeTerm()): LeaseRow {
    return buildLease({
      options: this.#options,
      epoch,
      report,
      unsettledTerms: this.#unsettledTerms,
      latencyMs: this.#latencyMs,
    });
  }
}
