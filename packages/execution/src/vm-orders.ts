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
const HOLDER_MARGIN_MS = 500;

/** Sends orders for VMs, if this node is certainly the only one to do so. */
export class VmOrders {
  readonly #context: OwnerContext;
  readonly #port: VmPort;
  readonly #isCertain: () => boolean;
  readonly #openFrom: number;

  constructor(context: OwnerContext, port: VmPort, isCertain: () => boolean) {
    this.#context = context;
    this.#port = port;
    this.#isCertain = isCertain;
    const isFirst = context.term.predecessor === undefined;
    const pause = context.bounds.holderChangeMs + HOLDER_MARGIN_MS;
    this.#openFrom = isFirst ? 0 : context.clock.now + pause;
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
