import { AttemptPhase } from '@currantgap/jobs';
import { VmState, type Vm } from '@currantgap/model';
import type { OwnerContext } from './context.ts';
import { DisruptionSurvey } from './disruption-budget.ts';
import type { RunOrders } from './run-orders.ts';
import { VmOrderOutcome, type VmPort } from './ports.ts';
import type { ReportProcessor } from './report-processor.ts';
import type { Assignment, TargetRecord } from './target-record.ts';
import { hasArrived, listEndingTargets } from './vm-arrival.ts';
import { findOccupancy, VmOccupancy } from './vm-occupancy.ts';
import { VmPhase, type VmOperation, type VmOrders, type VmPlan } from './vm-orders.ts';
import { LossReason } from './unlisted-runs.ts';

/** Milliseconds between reads of the VM list while operations are in progress, or if it is requested. */
const ACTIVE_LIST_PERIOD_MS = 500;
/** Milliseconds between reads of the VM list while no operation is in progress. */
const IDLE_LIST_PERIOD_MS = 5_000;
/** Milliseconds for which a VM is drained before its move is abandoned. */
const DRAIN_TIMEOUT_MS = 8_000;

/** Tracks the VMs, drains those with a plan and then sends the order to move or maintain them. */
export class VmController {
  readonly #context: OwnerContext;
  readonly #orders: RunOrders;
  readonly #reportProcessor: ReportProcessor;
  readonly #vmOrders: VmOrders;
  readonly #port: VmPort;
  readonly #vms = new Map<string, Vm>();
  readonly #operations = new Map<string, VmOperation>();
  /** Called when a VM's maintenance has begun. */
  readonly #onMaintained: (vm: string, wave: number) => void;
  #listedAt = -Infinity;
  #isListing = false;
  /** Whether the list is to be read at the shorter period. */
  #isListRequested = false;
  /** Monotonic time at which the last list was requested, in milliseconds. */
  #requestedAt = -Infinity;
  /** VMs of the list before the last one, and the time at which that list was requested. */
  #previous: { readonly names: ReadonlySet<string>; readonly requestedAt: number } | undefined;
  #isListed = false;
  /** Whether the VM service names the targets of VMs. */
  #hasTargetIds = false;

  constructor(options: {
    context: OwnerContext;
    orders: RunOrders;
    reportProcessor: ReportProcessor;
    vmOrders: VmOrders;
    port: VmPort;
    onMaintained: (vm: string, wave: number) => void;
  }) {
    this.#context = options.context;
    this.#orders = options.orders;
    this.#reportProcessor = options.reportProcessor;
    this.#vmOrders = options.vmOrders;
    this.#port = options.port;
    this.#onMaintained = options.onMaintained;
  }

  /** Whether plans can be started: the VM list has been read and orders may be sent. */
  get isReady(): boolean {
    return this.#isListed && this.#vmOrders.canSend;
  }

  /** Whether an order for this VM may be sent now. */
  canOrder(vm: string): boolean {
    return this.#vmOrders.canSendFor(vm);
  }

  /** Whether an earlier owner may have ordered this VM so lately that the order is in progress. */
  hasPredecessorOrder(vm: string): boolean {
    return this.#vmOrders.isBlocked(vm);
  }

  /** Finds out whether runs are active on a VM of the last list. */
  findOccupancy(vm: Vm): VmOccupancy {
    return findOccupancy(this.#context, { vm, hasTargetIds: this.#hasTargetIds });
  }

  /** All VMs of the last list. */
  get vms(): Iterable<Vm> {
    return this.#vms.values();
  }

  /**
   * Whether a VM has left for good: the last two lists lack it, both requested since a monotonic time.
   * One list alone may have been read while the VM was between two of its pages.
   */
  hasLeft(vm: string, since: number): boolean {
    const previous = this.#previous;
    if (previous === undefined || previous.requestedAt < since) return false;
    return !this.#vms.has(vm) && !previous.names.has(vm);
  }

  /** Whether the VM service has listed the VMs in this term. */
  get isListed(): boolean {
    return this.#isListed;
  }

  /** Has the next list read soon. */
  requestList(): void {
    this.#isListRequested = true;
  }

  /** Finds the operation in progress on a VM. */
  findOperation(vm: string): VmOperation | undefined {
    return this.#operations.get(vm);
  }

  /** All operations in progress. */
  get operations(): Iterable<VmOperation> {
    return this.#operations.values();
  }

  /** Starts draining a VM for a plan; does nothing if the VM has an operation already. */
  startPlan(vm: string, plan: VmPlan): void {
    if (this.#operations.has(vm)) return;
    const { now } = this.#context.clock;
    this.#operations.set(vm, {
      vm,
      plan,
      startedAt: now,
      phase: VmPhase.Draining,
      orderedAt: 0,
      isUncertain: false,
      endingTargets: new Map(),
    });
    const { fleet, logger } = this.#context;
    const targets = fleet.listOnVm(vm);
    fleet.cordon(vm);
    logger.writeInfo('VM planned', {
      vm,
      plan: plan.kind,
      to: plan.kind === 'move' ? plan.pool : plan.wave,
      from: this.#vms.get(vm)?.pool ?? '',
      tasks: countTasks(targets),
      reports: describeReports(targets, now),
    });
  }

  /** Abandons a plan; the VM accepts work again. */
  abandonPlan(vm: string, reason: string): void {
    const operation = this.#operations.get(vm);
    if (operation === undefined) return;
    this.#operations.delete(vm);
    this.#context.fleet.uncordon(vm);
    this.#context.logger.writeInfo('VM plan abandoned', { vm, plan: operation.plan.kind, reason });
  }

  /** Refreshes the VM list and advances all operations. */
  sweep(): void {
    this.#refreshList();
    for (const operation of [...this.#operations.values()]) {
      if (operation.phase === VmPhase.Draining) this.#drain(operation);
    }
  }

  #refreshList(): void {
    const { now } = this.#context.clock;
    const isActive = this.#operations.size > 0 || !this.#isListed || this.#isListRequested;
    const periodMs = isActive ? ACTIVE_LIST_PERIOD_MS : IDLE_LIST_PERIOD_MS;
    if (this.#isListing || now < this.#listedAt + periodMs) return;
    this.#isListing = true;
    this.#isListRequested = false;
    this.#listedAt = now;
    void this.#port.list().then((vms) => {
      this.#isListing = false;
      if (vms !== undefined) this.#applyList(vms, now);
    });
  }

  #applyList(vms: readonly Vm[], requestedAt: number): void {
    this.#isListed = true;
    this.#hasTargetIds = vms.some(({ targetId }) => targetId !== undefined);
    this.#settleEndedTargets(vms);
    this.#previous = { names: new Set(this.#vms.keys()), requestedAt: this.#requestedAt };
    this.#requestedAt = requestedAt;
    this.#vms.clear();
    for (const vm of vms) this.#vms.set(vm.name, vm);
    for (const operation of [...this.#operations.values()]) {
      const vm = this.#vms.get(operation.vm);
      if (vm === undefined) this.abandonPlan(operation.vm, 'no longer listed');
      else if (operation.phase === VmPhase.Unavailable && requestedAt > operation.orderedAt) {
        if (vm.state === VmState.Up) this.#finishOperation(operation);
      }
    }
  }

  /**
   * Settles the targets of earlier terms that no VM runs any more: their runs ended with them, so
   * nobody needs to wait for their reports.
   */
  #settleEndedTargets(vms: readonly Vm[]): void {
    const { clock, logger, reconciliation } = this.#context;
    const running = new Set(vms.map(({ targetId }) => targetId));
    // Without the ids of targets, the list says nothing about them.
    if (!this.#hasTargetIds) return;
    for (const { id, unanswered = [] } of reconciliation.listPending(clock.now)) {
      // A target that is only down may return under its id and carry these starts out.
      if (running.has(id) || unanswered.length > 0) continue;
      reconciliation.recordReport(id);
      logger.writeInfo('target no longer on any VM', { target: id });
    }
  }

  #finishOperation(operation: VmOperation): void {
    this.#operations.delete(operation.vm);
    this.#context.fleet.uncordon(operation.vm);
    const tookMs = Math.round(this.#context.clock.now - operation.startedAt);
    this.#context.logger.writeInfo('VM plan done', {
      vm: operation.vm,
      plan: operation.plan.kind,
      tookMs,
    });
  }

  /**
   * Lets finite tasks finish, moves persistent tasks within their disruption budgets, and sends the
   * order once the VM is known to be empty.
   */
  #drain(operation: VmOperation): void {
    const { clock, fleet } = this.#context;
    const vm = this.#vms.get(operation.vm);
    if (vm === undefined) return;
    const targets = fleet.listOnVm(operation.vm);
    if (hasArrived(operation, targets)) {
      this.#recordArrival(operation);
      return;
    }
    if (this.findOccupancy(vm) !== VmOccupancy.Empty) {
      if (clock.now > operation.startedAt + DRAIN_TIMEOUT_MS && operation.plan.kind === 'move') {
        this.abandonPlan(operation.vm, 'not drained in time');
        return;
      }
      const survey = new DisruptionSurvey(this.#context, { countsDraining: true });
      for (const target of targets)
        for (const assignment of [...target.assignments]) this.#relocate(assignment, survey);
      return;
    }
    if (!this.#vmOrders.canSendFor(operation.vm)) return;
    operation.phase = VmPhase.Ordered;
    operation.orderedAt = clock.now;
    // An order that is repeated may have ended the targets of the first one, and others have come.
    if (!operation.isUncertain) operation.endingTargets = listEndingTargets(vm, targets);
    const { plan } = operation;
    const reports = describeReports(targets, clock.now);
    fleet.announceEnd(vm.name);
    this.#context.logger.writeInfo('VM order sent', { vm: vm.name, plan: plan.kind, reports });
    void this.#vmOrders.send(operation).then((outcome) => {
      this.#applyOutcome(operation, outcome);
    });
  }

  /**
   * Removes the targets that an order should have ended. One that has registered since may follow them, or
   * end too: it gets work once the VM is listed as up.
   */
  #removeTargets({ vm, endingTargets }: VmOperation): void {
    const { fleet } = this.#context;
    for (const target of fleet.listOnVm(vm)) {
      if (!endingTargets.has(target.id)) continue;
      const bornAt = endingTargets.get(target.id) ?? target.entry.bornAt;
      if (bornAt !== target.entry.bornAt) continue;
      fleet.terminate(target, this.#context.clock.now);
      this.#context.logger.writeInfo('target presumed ended', { target: target.id, vm, bornAt });
      this.#reportProcessor.recordAllLost(target, LossReason.VmOrdered);
    }
    if (fleet.listOnVm(vm).length === 0) fleet.uncordon(vm);
  }

  /** Stops a persistent task if its disruption budget allows it; it restarts on another target. */
  #relocate(assignment: Assignment, survey: DisruptionSurvey): void {
    const { task, attempt } = assignment;
    if (!task.step.definition.isPersistent || attempt.phase !== AttemptPhase.Running) return;
    if (!survey.canStop(assignment)) return;
    survey.recordStop(assignment);
    this.#orders.stop(assignment, 'VM is emptied');
  }

  /** Records that a move was carried out although its order was not answered. */
  #recordArrival(operation: VmOperation): void {
    const { vm, plan } = operation;
    this.#context.logger.writeInfo('VM order carried out', { vm, plan: plan.kind });
    this.#recordUnavailable(operation);
    this.#removeTargets(operation);
    this.#context.fleet.uncordon(vm);
  }

  #recordUnavailable(operation: VmOperation): void {
    operation.phase = VmPhase.Unavailable;
    operation.orderedAt = this.#context.clock.now;
  }

  #applyOutcome(operation: VmOperation, outcome: VmOrderOutcome): void {
    if (this.#operations.get(operation.vm) !== operation) return;
    const { plan, vm } = operation;
    switch (outcome) {
      case VmOrderOutcome.Accepted:
        this.#recordUnavailable(operation);
        this.#removeTargets(operation);
        if (plan.kind === 'maintain') this.#onMaintained(vm, plan.wave);
        return;
      case VmOrderOutcome.Unknown:
      case VmOrderOutcome.Refused:
        // The order is safe to retry: the VM service accepts an order that it has already executed.
        operation.isUncertain ||= outcome === VmOrderOutcome.Unknown;
        operation.phase = VmPhase.Draining;
        return;
      case VmOrderOutcome.Fenced:
        this.#context.depose(`VM ${vm} has seen a higher token`);
        return;
      case VmOrderOutcome.Busy:
        // The VM may be busy with the order that was not answered, until it is listed as up again.
        if (operation.isUncertain) this.#recordUnavailable(operation);
        else this.abandonPlan(vm, outcome);
        return;
      case VmOrderOutcome.Invalid:
      case VmOrderOutcome.NotInWave:
        this.abandonPlan(vm, outcome);
    }
  }
}

/** Describes for logs how old the last report of each target is; empty if no target is known. */
function describeReports(targets: readonly TargetRecord[], now: number): string {
  return targets
    .map(({ id, reportedAt }) =>
      reportedAt === undefined ? `${id}: none` : `${id}: ${Math.round(now - reportedAt)} ms old`,
    )
    .join(', ');
}

function countTasks(targets: readonly TargetRecord[]): number {
  return targets.reduce((sum, { assignmentCount }) => sum + assignmentCount, 0);
}
