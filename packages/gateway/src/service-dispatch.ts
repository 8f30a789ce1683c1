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

/** Options of the dispatch of one service. */
export interface ServiceDispatchOptions {
  readonly name: string;
  readonly clock: Clock;
  readonly gate: StartGate;
  readonly allowances: Allowances;
  readonly metrics: Metrics;
  readonly ownDataCentre: string;
}

/** A waiting request that is refused, with the reason. */
export interface Refusal {
  readonly request: PendingRequest;
  readonly fault: Fault;
}

/** Part of the previous peak that remains in the reported demand. */
const DEMAND_DECAY = 0.5;
const MS_PER_SECOND = 1_000;

/** The queue and the targets of one service at this entry. */
export class ServiceDispatch {
  readonly name: string;
  readonly queue = new FairQueue<PendingRequest>();
  readonly #options: ServiceDispatchOptions;
  readonly #router: Router;
  readonly #inFlight = new Map<string, number>();
  readonly #runningByTeam = new Map<string, number>();
  readonly #demandByTeam = new Map<string, number>();
  #state = EnvironmentState.createEmpty();
  #targets: readonly DispatchTarget[] = [];

  constructor(options: ServiceDispatchOptions) {
    this.name = options.name;
    this.#options = options;
    this.#router = new Router(options.ownDataCentre);
  }

  /** Applies a configuration; VMs that return to service start slowly. */
  configure(state: EnvironmentState, previous: EnvironmentState, now: Instant): void {
    this.#state = state;
    const vms = state.listVms(state.findService(this.name)?.pool ?? '');
    this.#targets = vms.map((vm) => ({
      vm,
      resource: formatSlotResource(this.name, vm.name),
      isOpen: state.canStartOn(vm),
    }));
    for (const { vm, isOpen } of this.#targets) {
      if (isOpen && !previous.canStartOn(vm)) this.#router.startSlowly(vm.name, now);
    }
  }

  /** Starts the next request that may start; false when none may. */
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

  /** Records the end of a send. */
  finish(message: FinishMessage): void {
    const { request, vm, status, runMs } = message;
    const hasSucceeded = status === SendStatus.Answered;
    this.#inFlight.set(vm, (this.#inFlight.get(vm) ?? 1) - 1);
    this.#runningByTeam.set(request.team, (this.#runningByTeam.get(request.team) ?? 1) - 1);
    this.#router.record(vm, hasSucceeded, this.#options.clock.now, this.#targets.length);
    this.queue.record(request.team, runMs);
  }

  /** Lists the resources of which a running request has a permit. */
  listResources(request: PendingRequest, vm: string): ResourceName[] {
    return [formatTeamResource(request.team), formatSlotResource(this.name, vm)];
  }

  /** Whether a permit for a slot on some target is free. */
  hasFreeSlot(): boolean {
    return this.#targets.some(
      ({ isOpen, resource }) => isOpen && this.#options.allowances.canTake(resource),
    );
  }

  /** Takes stock of what each team could use: a peak that decays. */
  collectDemand(): Demand[] {
    const teams = new Set([
      ...this.#runningByTeam.keys(),
      ...this.#demandByTeam.keys(),
      ...this.queue.listWaitingTeams(),
    ]);
    const demands: Demand[] = [];
    for (const team of teams) {
      const running = this.#runningByTeam.get(team) ?? 0;
      const waiting = this.queue.count(team);
      const remaining = (this.#demandByTeam.get(team) ?? 0) * DEMAND_DECAY;
      const level = Math.max(running + waiting, remaining < 1 ? 0 : remaining);
      this.#demandByTeam.set(team, level);
      if (level === 0) this.#demandByTeam.delete(team);
      if (running === 0) this.#runningByTeam.delete(team);
      const need = Math.round(level);
      if (need > 0) demands.push({ service: this.name, team, running, waiting: need - running });
    }
    return demands;
  }

  /** Sets the weights of the teams to their parts at this entry, or to their shares. */
  setWeights(): void {
    for (const team of this.queue.listWaitingTeams()) {
      const part = this.#options.allowances.getTeamSlots(this.name, team);
      this.queue.setWeight(team, part > 0 ? part : (this.#state.findTeam(team)?.share ?? 1));
    }
  }

  /** Estimates how long a request of a team would wait behind those already waiting. */
  estimateWaitMs(team: string): number {
    const ahead = this.queue.count(team);
    const part = Math.max(1, this.#options.allowances.getTeamSlots(this.name, team));
    return ahead === 0 ? 0 : (ahead * this.queue.getExpectedCost(team)) / part;
  }

  /** Removes the first of each team that could no longer be answered by its deadline. */
  removeLate(now: Instant): Refusal[] {
    return this.queue
      .removeHeads(
        (request) => request.deadline - now < this.queue.getLikelyLongestCost(request.team),
      )
      .map((request) => ({ request, fault: createDeadlineFault() }));
  }

  /** Removes what waits in vain. */
  sweep(now: Instant): Refusal[] {
    if (this.queue.length === 0) return [];
    const expired = this.queue.removeWhere(
      (request) => request.deadline <= now || request.handler.isAbandoned,
    );
    const withdrawn = this.queue.removeWhere((request) => !this.#isKeyValid(request));
    const unknown = this.#state.findService(this.name) === undefined ? this.queue.removeAll() : [];
    return [
      ...expired.map((request) => ({ request, fault: createDeadlineFault() })),
      ...withdrawn.map((request) => ({ request, fault: createWithdrawnFault() })),
      ...unknown.map((request) => ({ request, fault: createRemovedFault(this.name) })),
    ];
  }

  #isKeyValid(request: PendingRequest): boolean {
    if (request.keyHash === undefined) return true;
    return this.#state.findTeamOfKey(request.keyHash)?.name === request.team;
  }

  #start(request: PendingRequest, vm: Vm): void {
    const { clock, allowances, metrics } = this.#options;
    for (const resource of this.listResources(request, vm.name)) allowances.take(resource);
    this.#inFlight.set(vm.name, (this.#inFlight.get(vm.name) ?? 0) + 1);
    this.#runningByTeam.set(request.team, (this.#runningByTeam.get(request.team) ?? 0) + 1);
    metrics.queueSeconds.observe(
      { team: request.team, service: this.name },
      (clock.now - request.arrivedAt) / MS_PER_SECOND,
    );
    request.sends += 1;
    request.lastVm = vm.name;
    request.handler.start(request, vm, clock.now);
  }

  #chooseVm(request: PendingRequest, now: Instant): Vm | undefined {
    const candidates: Candidate[] = [];
    for (const target of this.#targets) {
      if (this.#canUse(target, request)) candidates.push(this.#describeCandidate(target));
    }
    const chosen = this.#router.choose(candidates, now, request.lastVm);
    return this.#targets.find(({ vm }) => vm.name === chosen?.vm)?.vm;
  }

  #canUse({ vm, resource, isOpen }: DispatchTarget, request: PendingRequest): boolean {
    if (!isOpen || !this.#options.allowances.canTake(resource)) return false;
    return this.#options.gate.canStart({
      keyHash: request.keyHash,
      dataCentre: vm.dataCentre,
      vm: vm.name,
    });
  }

  #describeCandidate({ vm, resource }: DispatchTarget): Candidate {
    const { held } = this.#options.allowances.count(resource);
    const inFlight = this.#inFlight.get(vm.name) ?? 0;
    return { vm: vm.name, dataCentre: vm.dataCentre, held, inFlight };
  }
}

/** A VM with what the dispatch of a service needs to know of it. */
interface DispatchTarget {
  readonly vm: Vm;
  /** The resource of its slots. */
  readonly resource: ResourceName;
  /** Whether new work may start on it. */
  readonly isOpen: boolean;
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
