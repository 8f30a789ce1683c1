import {
  formatSlotResource,
  formatTeamResource,
  type Allowances,
  type Demand,
  type ResourceName,
} from '@currantgap/allowance';
import { EnvironmentState, type Vm } from '@currantgap/environment';
import type { StartGate } from '@currantgap/freshness';
import { FaultKind, createFault, type Fault, type Instant } from '@currantgap/model';
import { Router, type Candidate } from '@currantgap/routing';
import { FairQueue } from '@currantgap/sharing';
import type { Clock } from '@currantgap/tasks';
import type { Metrics } from '@currantgap/telemetry';
import type { FinishMessage } from './messages.ts';
import { SendStatus, type PendingRequest } from './pending-request.ts';

/** Options of the dispatch for one service. */
export interface ServiceDispatchOptions {
  readonly name: string;
  readonly clock: Clock;
  readonly gate: StartGate;
  readonly allowances: Allowances;
  readonly metrics: Metrics;
  readonly ownDataCentre: string;
}

/** A request that was removed from the queue, and the fault to refuse it with. */
export interface Refusal {
  readonly request: PendingRequest;
  readonly fault: Fault;
}

/** Factor by which the peak of the demand decays at each collection. */
const DEMAND_DECAY = 0.5;
const MS_PER_SECOND = 1_000;

/** Queues the requests for one service at this entry and starts them on its targets. */
export class ServiceDispatch {
  readonly name: string;
  readonly queue = new FairQueue<PendingRequest>();
  readonly #options: ServiceDispatchOptions;
  readonly #router: Router;
  readonly #inFlight = new Map<string, number>();
  readonly #runningByTeam = new Map<string, number>();
  readonly #peakByTeam = new Map<string, number>();
  #state = EnvironmentState.createEmpty();
  #targets: readonly DispatchTarget[] = [];

  constructor(options: ServiceDispatchOptions) {
    this.name = options.name;
    this.#options = options;
    this.#router = new Router(options.ownDataCentre);
  }

  /** Applies a configuration. Targets on VMs that return to service begin with slow start. */
  configure(state: EnvironmentState, previous: EnvironmentState, now: Instant): void {
    this.#state = state;
    const vms = state.listVms(state.findService(this.name)?.pool ?? '');
    this.#targets = vms.map((vm) => ({
      vm,
      resource: formatSlotResource(this.name, vm.name),
      canStart: state.canStartOn(vm),
    }));
    for (const { vm, canStart } of this.#targets) {
      if (canStart && !previous.canStartOn(vm)) this.#router.beginSlowStart(vm.name, now);
    }
  }

  /** Starts the next request that can start. Returns false when there is none. */
  startNext(): boolean {
    const { clock, allowances, gate } = this.#options;
    let vm: Vm | undefined;
    const request = this.queue.take((team, first) => {
      if (!allowances.canTake(formatTeamResource(team))) return false;
      const chosen = this.#chooseVm(first, clock.now);
      if (chosen !== undefined) vm = chosen;
      return chosen !== undefined;
    });
    if (request === undefined || vm === undefined) return false;
    const subject = { keyHash: request.keyHash, dataCentre: vm.dataCentre, vm: vm.name };
    if (!gate.canStart(subject)) {
      this.queue.add(request, true);
      return false;
    }
    this.#start(request, vm);
    return true;
  }

  /** Records the end of a send in the target health and the queue. */
  finish(message: FinishMessage): void {
    const { request, vm, status, runMs } = message;
    const hasSucceeded = status === SendStatus.Answered;
    this.#inFlight.set(vm, (this.#inFlight.get(vm) ?? 1) - 1);
    this.#runningByTeam.set(request.team, (this.#runningByTeam.get(request.team) ?? 1) - 1);
    this.#router.recordOutcome(vm, hasSucceeded, this.#options.clock.now, this.#targets.length);
    this.queue.recordCost(request.team, runMs);
  }

  /** Lists the resources that a running request holds permits of: its team and a slot of its VM. */
  listResources(request: PendingRequest, vm: string): ResourceName[] {
    return [formatTeamResource(request.team), formatSlotResource(this.name, vm)];
  }

  /** Whether a slot permit is free for any target that may start requests. */
  hasFreeSlot(): boolean {
    return this.#targets.some(
      ({ canStart, resource }) => canStart && this.#options.allowances.canTake(resource),
    );
  }

  /**
   * Collects the demand of each team: the number of its running and waiting requests, or a decaying
   * peak of earlier numbers if that is higher.
   */
  collectDemand(): Demand[] {
    const teams = new Set([
      ...this.#runningByTeam.keys(),
      ...this.#peakByTeam.keys(),
      ...this.queue.listWaitingTeams(),
    ]);
    const demands: Demand[] = [];
    for (const team of teams) {
      const running = this.#runningByTeam.get(team) ?? 0;
      const waiting = this.queue.count(team);
      const decayedPeak = (this.#peakByTeam.get(team) ?? 0) * DEMAND_DECAY;
      const peak = Math.max(running + waiting, decayedPeak < 1 ? 0 : decayedPeak);
      this.#peakByTeam.set(team, peak);
      if (peak === 0) this.#peakByTeam.delete(team);
      if (running === 0) this.#runningByTeam.delete(team);
      const total = Math.round(peak);
      if (total > 0) demands.push({ service: this.name, team, running, waiting: total - running });
    }
    return demands;
  }

  /**
   * Sets the weight of each waiting team to the number of slots allocated to it at this entry, or
   * to its configured share if no slots are allocated.
   */
  setWeights(): void {
    for (const team of this.queue.listWaitingTeams()) {
      const slots = this.#options.allowances.getTeamSlots(this.name, team);
      this.queue.setWeight(team, slots > 0 ? slots : (this.#state.findTeam(team)?.share ?? 1));
    }
  }

  /** Estimates the milliseconds that a new request of a team would wait in the queue. */
  estimateWaitMs(team: string): number {
    const waitingCount = this.queue.count(team);
    const slots = Math.max(1, this.#options.allowances.getTeamSlots(this.name, team));
    return waitingCount === 0 ? 0 : (waitingCount * this.queue.getExpectedCostMs(team)) / slots;
  }

  /** Removes requests that would probably miss their deadline from the head of each queue. */
  removeLikelyLate(now: Instant): Refusal[] {
    return this.queue
      .removeHeads(
        (request) => request.deadline - now < this.queue.estimateMaximumCostMs(request.team),
      )
      .map((request) => ({ request, fault: createDeadlineFault() }));
  }

  /**
   * Removes the requests that must not start any more: their deadline has passed, their caller has
   * disconnected, their key was withdrawn or their service was removed.
   */
  sweep(now: Instant): Refusal[] {
    if (this.queue.length === 0) return [];
    const expired = this.queue.removeWhere(
      (request) => request.deadline <= now || request.handler.isAbandoned,
    );
    const withdrawn = this.queue.removeWhere((request) => !this.#isKeyValid(request));
    const unserved = this.#state.findService(this.name) === undefined ? this.queue.removeAll() : [];
    return [
      ...expired.map((request) => ({ request, fault: createDeadlineFault() })),
      ...withdrawn.map((request) => ({ request, fault: createWithdrawnFault() })),
      ...unserved.map((request) => ({ request, fault: createRemovedFault(this.name) })),
    ];
  }

  #isKeyValid(request: PendingRequest): boolean {
    if (request.keyHash === undefined) return true;
    return this.#state.findTeamOfKey(request.keyHash)?.name === request.team;
  }

  /** Takes the permits, updates the counts and hands the request to its handler. */
  #start(request: PendingRequest, vm: Vm): void {
    const { clock, allowances, metrics } = this.#options;
    for (const resource of this.listResources(request, vm.name)) allowances.take(resource);
    this.#inFlight.set(vm.name, (this.#inFlight.get(vm.name) ?? 0) + 1);
    this.#runningByTeam.set(request.team, (this.#runningByTeam.get(request.team) ?? 0) + 1);
    metrics.queueSeconds.observe(
      { team: request.team, service: this.name },
      (clock.now - request.arrivedAt) / MS_PER_SECOND,
    );
    request.sendCount += 1;
    request.lastVm = vm.name;
    request.handler.start(request, vm, clock.now);
  }

  #chooseVm(request: PendingRequest, now: Instant): Vm | undefined {
    const candidates: Candidate[] = [];
    for (const target of this.#targets) {
      if (this.#canUse(target, request)) candidates.push(this.#buildCandidate(target));
    }
    const chosen = this.#router.choose(candidates, now, request.lastVm);
    return this.#targets.find(({ vm }) => vm.name === chosen?.vm)?.vm;
  }

  #canUse({ vm, resource, canStart }: DispatchTarget, request: PendingRequest): boolean {
    if (!canStart || !this.#options.allowances.canTake(resource)) return false;
    return this.#options.gate.canStart({
      keyHash: request.keyHash,
      dataCentre: vm.dataCentre,
      vm: vm.name,
    });
  }

  #buildCandidate({ vm, resource }: DispatchTarget): Candidate {
    const { held } = this.#options.allowances.count(resource);
    const inFlight = this.#inFlight.get(vm.name) ?? 0;
    return { vm: vm.name, dataCentre: vm.dataCentre, held, inFlight };
  }
}

/** A target of the service on a VM. */
interface DispatchTarget {
  readonly vm: Vm;
  /** Resource whose permits are the slots of the target. */
  readonly resource: ResourceName;
  /** Whether the configuration lets new requests start on the VM. */
  readonly canStart: boolean;
}

function createDeadlineFault(): Fault {
  return createFault(
    FaultKind.DeadlineExceeded,
    'The request could not be answered by its deadline.',
    'Send it again with a longer timeout, or when the team has less running.',
  );
}

function createWithdrawnFault(): Fault {
  return createFault(
    FaultKind.Unauthorised,
    'The key was withdrawn while the request waited.',
    'Ask an operator for a new key.',
  );
}

function createRemovedFault(service: string): Fault {
  return createFault(
    FaultKind.NotFound,
    `The service "${service}" was removed while the request waited.`,
    'Ask an operator which service took its place.',
  );
}
