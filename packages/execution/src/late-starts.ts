import type { Attempt } from '@currantgap/jobs';
import { LATEST_EXECUTION_MS, MAXIMUM_WAIT_FOR_GONE_MS } from './call-timing.ts';
import { computeMaximumLeaseMs, type OwnerContext } from './context.ts';
import type { TargetRecord } from './target-record.ts';

/** Milliseconds within which the entry of a target that is up returns to the registry, as the protocol says. */
const REGISTRATION_RETURN_MS = 2_000;
/** Decides what starts without an answer may still do, so that no task runs twice. */
export class LateStarts {
  readonly #context: OwnerContext;

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /**
   * Whether a start that a silent target has not answered can begin no run any more, and whether one that it
   * has begun is over: another incarnation that carries it out holds the lease of any call of the past.
   */
  isWithoutEffect(target: TargetRecord, { startedAt, bornAt }: Attempt): boolean {
    const { clock } = this.#context;
    if (this.#context.fleet.isReplaced(target)) return true;
    if (this.#isGone(target) && clock.now > startedAt + MAXIMUM_WAIT_FOR_GONE_MS) return true;
    const isSameIncarnation = target.isRegistered && target.entry.bornAt === bornAt;
    if (isSameIncarnation && target.registeredAt > startedAt + LATEST_EXECUTION_MS) return true;
    return clock.now > target.computeForeignLeaseEnd(computeMaximumLeaseMs(this.#context));
  }

  #isGone({ isRegistered, unregisteredAt }: TargetRecord): boolean {
    if (isRegistered || unregisteredAt === undefined) return false;
    return this.#context.clock.now > unregisteredAt + REGISTRATION_RETURN_MS;
  }
}
