import type { OwnerContext } from './context.ts';
import { getLeaseMs } from './run-orders.ts';
import type { TargetRecord } from './target-record.ts';

/** Milliseconds for which a target may delay its answer until a run ends: a quarter of a lease. */
const LONG_POLL_MS = 750;
/** Milliseconds before a renewal is retried on a target that did not answer. */
const NO_ANSWER_RETRY_MS = 300;
/**
 * Milliseconds between renewals while ended runs cannot be acknowledged: the target answers
 * immediately then.
 */
const UNACKNOWLEDGED_PAUSE_MS = 250;

/** Keeps one lease renewal in flight on each target, whose answer also reports the ended runs. */
export class LeaseRenewer {
  readonly #context: OwnerContext;
  /** Ended runs of each target that can be acknowledged once a ledger generation is stored. */
  readonly #unacknowledged = new Map<
    string,
    { generation: number; through: number; retryAt: number }
  >();
  #writtenThrough = 0;

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Sends the renewals that are due. */
  sendDue(): void {
    for (const target of this.#context.fleet.targets) this.#sendIfDue(target);
  }

  /** Records the ended runs of a report that was applied and sends the target's next renewal. */
  continueAfterReport(target: TargetRecord, generation: number): void {
    this.recordEnds(target, generation);
    this.#sendIfDue(target);
  }

  /** Records the ledger generation that must be stored before the applied ends are acknowledged. */
  recordEnds(target: TargetRecord, generation: number): void {
    if (target.appliedThrough <= target.acknowledgedThrough) return;
    const known = this.#unacknowledged.get(target.id);
    if (known === undefined && generation <= this.#writtenThrough) {
      target.acknowledgedThrough = target.appliedThrough;
      return;
    }
    this.#unacknowledged.set(target.id, {
      generation: Math.max(known?.generation ?? 0, generation),
      through: target.appliedThrough,
      retryAt: this.#context.clock.now + UNACKNOWLEDGED_PAUSE_MS,
    });
  }

  /** Acknowledges the ended runs that a stored ledger generation covers. */
  recordWritten(generation: number): void {
    this.#writtenThrough = Math.max(this.#writtenThrough, generation);
    for (const [id, unacknowledged] of [...this.#unacknowledged]) {
      if (unacknowledged.generation > this.#writtenThrough) continue;
      this.#unacknowledged.delete(id);
      const target = this.#context.fleet.find(id);
      if (target === undefined) continue;
      target.acknowledgedThrough = Math.max(
        target.acknowledgedThrough,
        Math.min(unacknowledged.through, target.appliedThrough),
      );
      this.#sendIfDue(target);
    }
  }

  /** Records that a renewal returned no report. */
  recordSilence(target: TargetRecord): void {
    target.unansweredCalls += 1;
    target.isIncarnationUncertain = true;
    target.renewNotBefore = this.#context.clock.now + NO_ANSWER_RETRY_MS;
  }

  /** Requests a report immediately, in addition to the renewal that is in flight. */
  requestReport(target: TargetRecord): void {
    const { clock, post, targetPort, term } = this.#context;
    const sentAt = clock.now;
    const order = { token: term.token, acknowledgedThrough: 0, deadline: undefined, waitMs: 0 };
    void targetPort.renewLeases(target.address, order).then((report) => {
      post({ kind: 'looked', target, sentAt, report });
    });
  }

  #sendIfDue(target: TargetRecord): void {
    const { partitionGuard, clock, fleet, post, targetPort, term } = this.#context;
    const { now } = clock;
    if (target.isRenewalInFlight || now < target.renewNotBefore) return;
    const unacknowledged = this.#unacknowledged.get(target.id);
    if (unacknowledged !== undefined && now < unacknowledged.retryAt) return;
    if (unacknowledged !== undefined) unacknowledged.retryAt = now + UNACKNOWLEDGED_PAUSE_MS;
    if (!target.isRegistered && target.assignmentCount === 0) {
      fleet.forget(target);
      return;
    }
    target.isRenewalInFlight = true;
    const isClockKnown = target.hasClock && !target.isIncarnationUncertain;
    const order = {
      token: term.token,
      acknowledgedThrough: isClockKnown ? target.acknowledgedThrough : 0,
      // A restart resets the target's clock, so a deadline computed from an old reading is invalid.
      deadline:
        isClockKnown && !partitionGuard.shouldPause()
          ? target.grantLease(getLeaseMs(this.#context.bounds), now)
          : undefined,
      waitMs: isClockKnown && unacknowledged === undefined ? LONG_POLL_MS : 0,
    };
    void targetPort.renewLeases(target.address, order).then((report) => {
      post({ kind: 'held', target, sentAt: now, report });
    });
  }
}
