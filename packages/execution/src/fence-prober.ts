import type { OwnerContext } from './context.ts';
import type { LeaseRenewer } from './lease-renewer.ts';
import { LeaseRenewalFault } from './ports.ts';
import type { TargetRecord } from './target-record.ts';

/** Milliseconds between two rounds of probes. */
export const PROBE_INTERVAL_MS = 10;
/** Probes of one round at most: with more silent targets than that, each is probed less often. */
export const PROBES_PER_ROUND = 2;
/** Milliseconds after which a probe is given up. What reaches a target while it is down is never answered. */
const PROBE_TIMEOUT_MS = 80;
/** Milliseconds without probes after another target has answered at the address. */
const FOREIGN_ADDRESS_PAUSE_MS = 1_000;

/**
 * Fences the next incarnation of a target off as soon as it is up. A start that was left unanswered may be
 * carried out seconds later, and an incarnation that has seen no token takes it. As long as that may happen
 * on a target that is silent, it is asked for a report every few milliseconds, with a raised token.
 */
export class FenceProber {
  readonly #context: OwnerContext;
  readonly #renewer: LeaseRenewer;
  /** Monotonic times before which targets are not probed, in milliseconds. */
  readonly #pausedUntil = new WeakMap<TargetRecord, number>();
  #timer: NodeJS.Timeout | undefined;
  /** Number of probes sent; says whose turn it is. */
  #sentCount = 0;

  constructor(context: OwnerContext, renewer: LeaseRenewer) {
    this.#context = context;
    this.#renewer = renewer;
  }

  /** Sends a round of probes, and posts a `probe` message for the next one if a target needs it. */
  sweep(): void {
    if (this.#timer !== undefined) return;
    const exposed = [...this.#context.fleet.targets].filter((target) => this.#isExposed(target));
    if (exposed.length === 0) return;
    for (let sent = 0; sent < Math.min(PROBES_PER_ROUND, exposed.length); sent += 1) {
      const target = exposed[this.#sentCount % exposed.length];
      this.#sentCount += 1;
      if (target !== undefined) this.#probe(target);
    }
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#context.post({ kind: 'probe' });
    }, PROBE_INTERVAL_MS);
  }

  /** Ends the probes. */
  stop(): void {
    clearTimeout(this.#timer);
  }

  /** Whether the next incarnation of a target, which may be up, might carry out a call of the past. */
  #isExposed(target: TargetRecord): boolean {
    const { clock, fleet } = this.#context;
    if (target.fence.isClosed || clock.now >= target.lateCallsUntil) return false;
    if (fleet.isReplaced(target) || fleet.isTerminated(target)) return false;
    return clock.now >= (this.#pausedUntil.get(target) ?? -Infinity);
  }

  #probe(target: TargetRecord): void {
    const { clock } = this.#context;
    target.fence.open();
    void this.#renewer.probe(target, PROBE_TIMEOUT_MS).then((fault) => {
      if (fault === LeaseRenewalFault.OtherIncarnation)
        this.#pausedUntil.set(target, clock.now + FOREIGN_ADDRESS_PAUSE_MS);
    });
  }
}
