import { AttemptPhase } from '@currantgap/jobs';
import { canDisrupt } from '@currantgap/fleet';
import { VmState, type Vm } from '@currantgap/model';
import type { OwnerContext } from './context.ts';
import type { Orders } from './orders.ts';
import { VmOrderOutcome, type VmPort } from './ports.ts';
import type { Reports } from './reports.ts';
import type { Assignment, TargetRecord } from './target-record.ts';
import { VmPhase, type VmIntent, type VmOrders, type VmPlan } from './vm-orders.ts';

/** Milliseconds between readings of the VM list while plans are under way. */
const BUSY_LIST_MS = 500;
/** Milliseconds between readings of the VM list when all is quiet. */
const QUIET_LIST_MS = 5_000;
/** Milliseconds for which a VM is emptied before the plan is given up. */
const CLOSING_LIMIT_MS = 8_000;
const AT_WORK_PERCENT = 100;

/** Knows the VMs, empties those that have a plan and sends the orders. */
export class VmKeeper {
  readonly #context: OwnerContext;
  readonly #orders: Orders;
  readonly #reports: Reports;
  readonly #vmOrders: VmOrders;
  readonly #port: VmPort;
  readonly #vms = new Map<string, Vm>();
  readonly #intents = new Map<string, VmIntent>();
  /** Told when a VM's maintenance has begun. */
  readonly #onMaintained: (vm: string, wave: number) => void;
  #listedAt = -Infinity;
  #isListing = false;
  #isListed = false;

  constructor(options: {
    context: OwnerContext;
    orders: Orders;
    reports: Reports;
    vmOrders: VmOrders;
    port: VmPort;
    onMaintained: (vm: string, wave: number) => void;
  }) {
    this.#context = options.context;
    this.#orders = options.orders;
    this.#reports = options.reports;
    this.#vmOrders = options.vmOrders;
    this.#port = options.port;
    this.#onMaintained = options.onMaintained;
  }

  /** Tells whether plans can be made: the VMs are known and orders may be sent. */
  get isReady(): boolean {
    return this.#isListed && this.#vmOrders.isOpen;
  }

  get vms(): Iterable<Vm> {
    return this.#vms.values();
  }

  findIntent(vm: string): VmIntent | undefined {
    return this.#intents.get(vm);
  }

  get intents(): Iterable<VmIntent> {
    return this.#intents.values();
  }

  /** Finds the target that runs on a VM. */
  findTarget(vm: string): TargetRecord | undefined {
    for (const target of this.#context.fleet.targets) {
      if (target.entry.vm === vm && target.isRegistered) return target;
    }
    return undefined;
  }

  /** Begins to empty a VM for a plan. */
  plan(vm: string, plan: VmPlan): void {
    if (this.#intents.has(vm)) return;
    const { now } = this.#context.clock;
    this.#intents.set(vm, { vm, plan, since: now, phase: VmPhase.Closing, orderedAt: 0 });
    const target = this.findTarget(vm);
    if (target !== undefined) target.isClosing = true;
    this.#context.logger.writeInfo('VM planned', {
      vm,
      plan: plan.kind,
      to: plan.kind === 'move' ? plan.pool : plan.wave,
      from: this.#vms.get(vm)?.pool ?? '',
      tasks: target?.assignmentCount ?? 0,
    });
  }

  /** Gives a plan up; the VM takes work again. */
  drop(vm: string, reason: string): void {
    const intent = this.#intents.get(vm);
    if (intent === undefined) return;
    this.#intents.delete(vm);
    const target = this.findTarget(vm);
    if (target !== undefined) target.isClosing = false;
    this.#context.logger.writeInfo('VM plan dropped', { vm, plan: intent.plan.kind, reason });
  }

  /** Moves all plans on. */
  sweep(): void {
    this.#refreshList();
    for (const intent of [...this.#intents.values()]) {
      if (intent.phase === VmPhase.Closing) this.#vacate(intent);
    }
  }

  #refreshList(): void {
    const { now } = this.#context.clock;
    const period = this.#intents.size > 0 || !this.#isListed ? BUSY_LIST_MS : QUIET_LIST_MS;
    if (this.#isListing || now < this.#listedAt + period) return;
    this.#isListing = true;
    this.#listedAt = now;
    void this.#port.list().then((vms) => {
      this.#isListing = false;
      if (vms !== undefined) this.#applyList(vms, now);
    });
  }

  #applyList(vms: readonly Vm[], askedAt: number): void {
    this.#isListed = true;
    this.#vms.clear();
    for (const vm of vms) this.#vms.set(vm.name, vm);
    for (const intent of [...this.#intents.values()]) {
      const vm = this.#vms.get(intent.vm);
      if (vm === undefined) this.drop(intent.vm, 'no longer listed');
      else if (intent.phase === VmPhase.Away && askedAt > intent.orderedAt) {
        if (vm.state === VmState.Up) this.#finish(intent);
      }
    }
  }

  #finish(intent: VmIntent): void {
    this.#intents.delete(intent.vm);
    const tookMs = Math.round(this.#context.clock.now - intent.since);
    this.#context.logger.writeInfo('VM plan done', {
      vm: intent.vm,
      plan: intent.plan.kind,
      tookMs,
    });
  }

  /** Lets tasks that can end run out, moves persistent ones within their budgets, then orders. */
  #vacate(intent: VmIntent): void {
    const { clock } = this.#context;
    const target = this.findTarget(intent.vm);
    if (target !== undefined) target.isClosing = true;
    if (target !== undefined && target.assignmentCount > 0) {
      if (clock.now > intent.since + CLOSING_LIMIT_MS && intent.plan.kind === 'move') {
        this.drop(intent.vm, 'not emptied in time');
        return;
      }
      for (const assignment of [...target.assignments]) this.#relocate(assignment);
      return;
    }
    if (!this.#vmOrders.isOpen) return;
    intent.phase = VmPhase.Ordered;
    intent.orderedAt = clock.now;
    void this.#vmOrders.send(intent).then((outcome) => {
      this.#applyOutcome(intent, outcome);
    });
  }

  /** The target that ran on the VM is gone; another will register. */
  #withdraw(vm: string): void {
    const target = this.findTarget(vm);
    if (target === undefined) return;
    this.#context.fleet.unregister(target.id);
    this.#reports.loseAll(target, 'VM taken away');
  }

  #relocate(assignment: Assignment): void {
    const { task, attempt } = assignment;
    const { step } = task;
    if (!step.definition.isPersistent || attempt.phase !== AttemptPhase.Running) return;
    const isAtWork = attempt.percent >= AT_WORK_PERCENT;
    const away = step.tasks.filter((other) => !isTaskAtWork(other.attempts)).length;
    const others = isAtWork ? away : away - 1;
    if (canDisrupt({ budget: step.definition.disruptionBudget, unavailableCount: others })) {
      this.#orders.stop(assignment, 'VM is emptied');
    }
  }

  #applyOutcome(intent: VmIntent, outcome: VmOrderOutcome): void {
    if (this.#intents.get(intent.vm) !== intent) return;
    const { plan, vm } = intent;
    switch (outcome) {
      case VmOrderOutcome.Accepted:
        intent.phase = VmPhase.Away;
        intent.orderedAt = this.#context.clock.now;
        this.#withdraw(vm);
        if (plan.kind === 'maintain') this.#onMaintained(vm, plan.wave);
        return;
      case VmOrderOutcome.Unknown:
      case VmOrderOutcome.Refused:
        // The service answers alike when the order was carried out before, so it is sent again.
        intent.phase = VmPhase.Closing;
        return;
      case VmOrderOutcome.Fenced:
        this.#context.depose(`VM ${vm} has seen a higher token`);
        return;
      case VmOrderOutcome.Busy:
      case VmOrderOutcome.Invalid:
      case VmOrderOutcome.NotInWave:
        this.drop(vm, outcome);
    }
  }
}

function isTaskAtWork(attempts: readonly { phase: AttemptPhase; percent: number }[]): boolean {
  return attempts.some(
    ({ phase, percent }) => phase === AttemptPhase.Running && percent >= AT_WORK_PERCENT,
  );
}
