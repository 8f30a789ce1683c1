import { FRESH_LEASE_MS, type Term } from '@currantgap/ownership';
import type { OwnerContext } from './context.ts';
import { VmOrderOutcome, type VmOrder, type VmPort } from './ports.ts';

/** What is to become of a VM. */
export type VmPlan =
  | { readonly kind: 'move'; readonly pool: string }
  | { readonly kind: 'maintain'; readonly wave: number };

/** How far a plan for a VM is. */
export enum VmPhase {
  /** It gets no new work and is being emptied. */
  Closing = 'closing',
  /** The order was sent. */
  Ordered = 'ordered',
  /** The order was taken; the VM is away until it is listed as up again. */
  Away = 'away',
}

/** A plan under way. */
export interface VmIntent {
  readonly vm: string;
  readonly plan: VmPlan;
  readonly since: number;
  phase: VmPhase;
  /** Instant of the order. */
  orderedAt: number;
}

/** Milliseconds beyond the protocol's least time between orders of two holders. */
const HOLDER_MARGIN_MS = 250;

/** Sends orders for VMs, if this node is certainly the only one to do so. */
export class VmOrders {
  readonly #context: OwnerContext;
  readonly #port: VmPort;
  readonly #isCertain: () => boolean;
  readonly #openFrom: number;
  #orderedAt: number | undefined;

  constructor(context: OwnerContext, port: VmPort, isCertain: () => boolean) {
    this.#context = context;
    this.#port = port;
    this.#isCertain = isCertain;
    const age = computeOrderAge(context.term);
    const pause = context.bounds.holderChangeMs + HOLDER_MARGIN_MS;
    this.#openFrom = context.clock.now + pause - age;
  }

  /** Milliseconds since the last order; undefined without one. */
  get orderAgeMs(): number | undefined {
    const { clock } = this.#context;
    return this.#orderedAt === undefined ? undefined : Math.round(clock.now - this.#orderedAt);
  }

  /** Tells whether orders may be sent now. */
  get isOpen(): boolean {
    return this.#context.clock.now >= this.#openFrom && this.#isCertain();
  }

  /** Sends the order of a plan. */
  async send(intent: VmIntent): Promise<VmOrderOutcome> {
    const { logger, term } = this.#context;
    if (!this.isOpen) return VmOrderOutcome.Refused;
    const { vm, plan } = intent;
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

/** Least milliseconds since a predecessor's last order for a VM. */
function computeOrderAge(term: Term): number {
  const { predecessor, predecessorAgeMs } = term;
  if (predecessor === undefined) return Infinity;
  // Orders need a fresh renewal, so the last one came within that time after the row was written.
  if (!predecessor.isReleased) return predecessorAgeMs - FRESH_LEASE_MS;
  return (predecessor.vmOrderAgeMs ?? Infinity) + predecessorAgeMs;
}
