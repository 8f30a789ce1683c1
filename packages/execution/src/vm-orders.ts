import type { OwnerContext } from './context.ts';
import { VmOrderOutcome, type VmOrder, type VmPort } from './ports.ts';
import type { VmOrderLog } from './vm-order-log.ts';

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
  /** Whether an order was not answered, so that it may have been executed. */
  isUncertain: boolean;
  /**
   * Ids of the targets that the order ends, with the start of their incarnations in Unix milliseconds;
   * undefined for one that the VM list names and that has not registered.
   */
  endingTargets: ReadonlyMap<string, number | undefined>;
}

/** Sends orders for VMs, but only while no other node can be sending them. */
export class VmOrders {
  readonly #context: OwnerContext;
  readonly #port: VmPort;
  readonly #log: VmOrderLog;
  readonly #hasFreshLease: () => boolean;

  constructor(options: {
    readonly context: OwnerContext;
    readonly port: VmPort;
    readonly log: VmOrderLog;
    readonly hasFreshLease: () => boolean;
  }) {
    this.#context = options.context;
    this.#port = options.port;
    this.#log = options.log;
    this.#hasFreshLease = options.hasFreshLease;
  }

  /** Whether orders may be sent now, as far as this owner's lease is concerned. */
  get canSend(): boolean {
    return this.#hasFreshLease();
  }

  /** Whether an order for this VM may be sent now. */
  canSendFor(vm: string): boolean {
    return this.canSend && !this.isBlocked(vm);
  }

  /** Whether an earlier owner may have ordered the VM so lately that no other owner may. */
  isBlocked(vm: string): boolean {
    return this.#log.isBlocked(vm);
  }

  /** Sends the order of an operation; returns `Refused` if it may not be sent now. */
  async send(operation: VmOperation): Promise<VmOrderOutcome> {
    const { logger, term } = this.#context;
    const { vm, plan } = operation;
    if (!this.canSendFor(vm)) return VmOrderOutcome.Refused;
    const isLogged = await this.#log.record(vm);
    if (!isLogged || !this.canSend) return VmOrderOutcome.Refused;
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
