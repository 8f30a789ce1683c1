import { FRESH_LEASE_MS, type Term } from '@currantgap/ownership';
import type { OwnerContext } from './context.ts';
import { VmOrderOutcome, type VmOrder, type VmPort } from './ports.ts';

/** A planned change to a VM: a move to another pool, or maintenance in a wave. */
export type VmPlan =
  | { readonly kind: 'move'; readonly pool: string }
  | { readonly kind: 'maintain'; readonly wave: number };

/** Phase of an operation on a VM. */
export enum VmPhase {
  /** The VM gets no new work, and its tasks finish or are moved. */
  Draining = 'closing',
  /** The order was sent and is not answered yet. */
  Ordered = 'ordered',
  /** The order was accepted; the VM is unavailable until it is listed as up again. */
  Unavailable = 'away',
}

/** A plan for a VM that is in progress. */
export interface VmOperation {
  readonly vm: string;
  readonly plan: VmPlan;
  /** Monotonic time at which draining started, in milliseconds. */
  readonly startedAt: number;
  phase: VmPhase;
  /** Monotonic time of the last order, in milliseconds; 0 before the first. */
  orderedAt: number;
}

/** Milliseconds beyond the protocol's minimum time between orders of two lease holders. */
const HOLDER_CHANGE_MARGIN_MS = 250;

/** Sends orders for VMs, but only while no other node can be sending them. */
export class VmOrders {
  readonly #context: OwnerContext;
  readonly #port: VmPort;
  readonly #hasFreshLease: () => boolean;
  readonly #sendNotBefore: number;
  #orderedAt: number | undefined;

  constructor(context: OwnerContext, port: VmPort, hasFreshLease: () => boolean) {
    this.#context = context;
    this.#port = port;
    this.#hasFreshLease = hasFreshLease;
    const orderAgeMs = computePredecessorOrderAge(context.term);
    const pauseMs = context.bounds.holderChangeMs + HOLDER_CHANGE_MARGIN_MS;
    this.#sendNotBefore = context.clock.now + pauseMs - orderAgeMs;
  }

  /** Milliseconds since the last order of this term; undefined if there is none. */
  get orderAgeMs(): number | undefined {
    const { clock } = this.#context;
    return this.#orderedAt === undefined ? undefined : Math.round(clock.now - this.#orderedAt);
  }

  /** Whether orders may be sent now. */
  get canSend(): boolean {
    return this.#context.clock.now >= this.#sendNotBefore && this.#hasFreshLease();
  }

  /** Sends the order of an operation; returns `Refused` if orders may not be sent now. */
  async send(operation: VmOperation): Promise<VmOrderOutcome> {
    const { logger, term } = this.#context;
    if (!this.canSend) return VmOrderOutcome.Refused;
    const { vm, plan } = operation;
    this.#orderedAt = this.#context.clock.now;
    const order: VmOrder = { vm, token: term.token };
    const outcome =
      plan.kind === 'move'
        ? await this.#port.move(order, plan.pool)
        : await this.#port.maintain(order, plan.wave);
    logger.writeInfo('VM order answered', {
      vm,
      plan: plan.kind,
      to: plan.kind === 'move' ? plan.pool : plan.wave,
      outcome,
    });
    return outcome;
  }
}

/** Computes the minimum milliseconds since the predecessor's last order for a VM. */
function computePredecessorOrderAge(term: Term): number {
  const { predecessor, predecessorAgeMs } = term;
  if (predecessor === undefined) return Infinity;
  // Orders are sent only within FRESH_LEASE_MS after a lease renewal, so the last order was sent at
  // most that long after the lease row was written.
  if (!predecessor.isReleased) return predecessorAgeMs - FRESH_LEASE_MS;
  return (predecessor.vmOrderAgeMs ?? Infinity) + predecessorAgeMs;
}
