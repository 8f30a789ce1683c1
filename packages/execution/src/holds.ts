import type { OwnerContext } from './context.ts';
import { getLeaseMs } from './orders.ts';
import type { TargetRecord } from './target-record.ts';

/** Milliseconds for which a hold waits for an end: a quarter of a lease. */
const HOLD_WAIT_MS = 750;
/** Milliseconds before a target that did not answer is asked again. */
const SILENCE_PAUSE_MS = 300;
/** Milliseconds between holds while ends can't be noted, since the answer comes at once then. */
const UNNOTED_PAUSE_MS = 250;

/** Keeps one hold under way at each target: it renews the leases and brings the ends. */
export class Holds {
  readonly #context: OwnerContext;
  /** Ends of a target that are noted once a ledger generation is written. */
  readonly #unnoted = new Map<string, { generation: number; through: number; retryAt: number }>();
  #writtenThrough = 0;

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Sends the holds that are due. */
  sendDue(): void {
    for (const target of this.#context.fleet.targets) this.#sendIfDue(target);
  }

  /** Sends the next hold of one target after a report was applied. */
  continue(target: TargetRecord, generation: number): void {
    this.recordEnds(target, generation);
    this.#sendIfDue(target);
  }

  /** Records which ledger generation must be written before the ends seen so far are noted. */
  recordEnds(target: TargetRecord, generation: number): void {
    if (target.seenThrough <= target.acknowledgedThrough) return;
    const known = this.#unnoted.get(target.id);
    if (known === undefined && generation <= this.#writtenThrough) {
      target.acknowledgedThrough = target.seenThrough;
      return;
    }
    this.#unnoted.set(target.id, {
      generation: Math.max(known?.generation ?? 0, generation),
      through: target.seenThrough,
      retryAt: this.#context.clock.now + UNNOTED_PAUSE_MS,
    });
  }

  /** Notes the ends that a written generation covers. */
  recordWritten(generation: number): void {
    this.#writtenThrough = Math.max(this.#writtenThrough, generation);
    for (const [id, unnoted] of [...this.#unnoted]) {
      if (unnoted.generation > this.#writtenThrough) continue;
      this.#unnoted.delete(id);
      const target = this.#context.fleet.find(id);
      if (target === undefined) continue;
      target.acknowledgedThrough = Math.max(
        target.acknowledgedThrough,
        Math.min(unnoted.through, target.seenThrough),
      );
      this.#sendIfDue(target);
    }
  }

  /** Records that a hold brought no report. */
  recordSilence(target: TargetRecord): void {
    target.silences += 1;
    target.isLifetimeDoubtful = true;
    target.holdNotBefore = this.#context.clock.now + SILENCE_PAUSE_MS;
  }

  /** Reads a target's runs at once, beside the hold that waits there. */
  look(target: TargetRecord): void {
    const { clock, post, targetPort, term } = this.#context;
    const sentAt = clock.now;
    const order = { token: term.token, acknowledgedThrough: 0, deadline: undefined, waitMs: 0 };
    void targetPort.hold(target.address, order).then((report) => {
      post({ kind: 'looked', target, sentAt, report });
    });
  }

  #sendIfDue(target: TargetRecord): void {
    const { caution, clock, fleet, post, targetPort, term } = this.#context;
    const { now } = clock;
    if (target.isHolding || now < target.holdNotBefore) return;
    const unnoted = this.#unnoted.get(target.id);
    if (unnoted !== undefined && now < unnoted.retryAt) return;
    if (unnoted !== undefined) unnoted.retryAt = now + UNNOTED_PAUSE_MS;
    if (!target.isRegistered && target.assignmentCount === 0) {
      fleet.forget(target);
      return;
    }
    target.isHolding = true;
    const isKnown = target.hasClock && !target.isLifetimeDoubtful;
    const order = {
      token: term.token,
      acknowledgedThrough: isKnown ? target.acknowledgedThrough : 0,
      // After a restart the target's clock began anew, so an old reading gives no deadline.
      deadline:
        isKnown && !caution.shouldWait()
          ? target.grantLease(getLeaseMs(this.#context.bounds), now)
          : undefined,
      waitMs: isKnown && unnoted === undefined ? HOLD_WAIT_MS : 0,
    };
    void targetPort.hold(target.address, order).then((report) => {
      post({ kind: 'held', target, sentAt: now, report });
    });
  }
}
