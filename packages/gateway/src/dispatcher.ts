import {
  PermitGroupKind,
  formatPermitGroup,
  formatTeamResource,
  type Allowances,
  type PermitGroup,
} from '@currantgap/allowance';
import { EnvironmentState } from '@currantgap/environment';
import type { StartGate } from '@currantgap/freshness';
import type { Fault } from '@currantgap/model';
import { Task, type Clock } from '@currantgap/tasks';
import type { Metrics } from '@currantgap/telemetry';
import {
  MessageKind,
  type ArriveMessage,
  type Borrower,
  type DispatcherMessage,
  type FinishMessage,
} from './messages.ts';
import { SendStatus, type PendingRequest } from './pending-request.ts';
import { ServiceDispatch } from './service-dispatch.ts';

/** Milliseconds between two requests to borrow permits of the same group. */
const BORROW_PERIOD_MS = 50;
/** Permits asked for at once, at most. */
const MAXIMUM_BORROWED = 16;

/** Options of the dispatcher. */
export interface DispatcherOptions {
  readonly clock: Clock;
  readonly gate: StartGate;
  readonly allowances: Allowances;
  readonly borrower: Borrower;
  readonly metrics: Metrics;
  readonly ownDataCentre: string;
}

/** Owns the queues, the permits and the health of targets, and starts requests. */
export class Dispatcher extends Task<DispatcherMessage> {
  readonly #options: DispatcherOptions;
  readonly #services = new Map<string, ServiceDispatch>();
  readonly #borrowAt = new Map<string, number>();
  #state = EnvironmentState.createEmpty();
  #drained: (() => void) | undefined;
  #unfinished = 0;

  constructor(options: DispatcherOptions) {
    super();
    this.#options = options;
  }

  /** Counts the requests that a team has waiting for a service at this entry. */
  countWaiting(service: string, team: string): number {
    return this.#services.get(service)?.queue.count(team) ?? 0;
  }

  /** Whether a request would wait past its deadline behind those already waiting. */
  isHopeless(service: string, team: string, remainingMs: number): boolean {
    return (this.#services.get(service)?.estimateWaitMs(team) ?? 0) > remainingMs;
  }

  protected handle(message: DispatcherMessage): void {
    switch (message.kind) {
      case MessageKind.Arrive:
        this.#unfinished += 1;
        this.#accept(message);
        break;
      case MessageKind.Finish:
        this.#finish(message);
        break;
      case MessageKind.Release:
        for (const resource of message.resources) this.#options.allowances.release(resource);
        this.#settleLoans();
        this.#pumpAll();
        break;
      case MessageKind.Configure:
        this.#configure(message.state);
        break;
      case MessageKind.Sweep:
        this.#sweep();
        this.#pumpAll();
        break;
      case MessageKind.Refresh:
        this.#refresh();
        break;
      case MessageKind.Use:
        message.use(this.#options.allowances);
        this.#pumpAll();
        break;
      case MessageKind.Drain:
        this.#drained = message.resolve;
        this.#notifyDrained();
        break;
    }
  }

  #accept({ request, isRetry }: ArriveMessage): void {
    const dispatch = this.#open(request.service.name);
    dispatch.queue.add(request, isRetry);
    this.#pump(dispatch);
  }

  #finish(message: FinishMessage): void {
    const { request, vm, status, runMs } = message;
    const dispatch = this.#open(request.service.name);
    dispatch.finish(message);
    this.#unfinished -= 1;
    if (status === SendStatus.Lost) {
      this.#releaseLater(request, vm);
    } else {
      for (const resource of dispatch.listResources(request, vm)) {
        this.#options.allowances.release(resource);
      }
    }
    this.#options.metrics.runSeconds.observe(
      { team: request.team, service: request.service.name },
      runMs / MS_PER_SECOND,
    );
    this.#settleLoans();
    this.#pumpAll();
    this.#notifyDrained();
  }

  /** What has fallen free goes first to the entries it is owed to. */
  #settleLoans(): void {
    const { allowances, borrower } = this.#options;
    for (const peer of allowances.lendPending()) borrower.deliver(peer);
  }

  /** The target may still run what was lost, until it stops the request by itself. */
  #releaseLater(request: PendingRequest, vm: string): void {
    const { clock } = this.#options;
    const resources = this.#open(request.service.name).listResources(request, vm);
    clock.schedule(clock.now + request.service.maximumRunMs, () => {
      this.post({ kind: MessageKind.Release, resources });
    });
  }

  #configure(state: EnvironmentState): void {
    const previous = this.#state;
    this.#state = state;
    this.#options.allowances.configure(state);
    for (const dispatch of this.#services.values()) {
      dispatch.configure(state, previous, this.#options.clock.now);
    }
    this.#sweep();
    this.#pumpAll();
  }

  #refresh(): void {
    const demands = [...this.#services.values()].flatMap((dispatch) => dispatch.collectDemand());
    this.#options.allowances.setDemand(demands);
    for (const dispatch of this.#services.values()) dispatch.setWeights();
  }

  /** Refuses what waits in vain: past its deadline, abandoned, or with a withdrawn key. */
  #sweep(): void {
    for (const dispatch of this.#services.values()) {
      for (const { request, fault } of dispatch.sweep(this.#options.clock.now)) {
        this.#refuse(request, fault);
      }
    }
    this.#notifyDrained();
  }

  #refuse(request: PendingRequest, fault: Fault): void {
    this.#unfinished -= 1;
    request.handler.refuse(request, fault);
  }

  #pumpAll(): void {
    for (const dispatch of this.#services.values()) this.#pump(dispatch);
  }

  #pump(dispatch: ServiceDispatch): void {
    if (dispatch.queue.length === 0) return;
    for (const { request, fault } of dispatch.removeLate(this.#options.clock.now)) {
      this.#refuse(request, fault);
    }
    for (let started = dispatch.startNext(); started; started = dispatch.startNext());
    if (dispatch.queue.length > 0) this.#borrow(dispatch);
  }

  #borrow(dispatch: ServiceDispatch): void {
    const groups: PermitGroup[] = dispatch.queue
      .listWaitingTeams()
      .filter((team) => !this.#options.allowances.canTake(formatTeamResource(team)))
      .map((team) => ({ kind: PermitGroupKind.Team, name: team }));
    if (!dispatch.hasFreeSlot())
      groups.push({ kind: PermitGroupKind.Service, name: dispatch.name });
    for (const group of groups) this.#borrowGroup(group, dispatch.queue.length);
  }

  #borrowGroup(group: PermitGroup, wanted: number): void {
    const { clock, allowances, borrower } = this.#options;
    const key = formatPermitGroup(group);
    if (clock.now < (this.#borrowAt.get(key) ?? -Infinity)) return;
    this.#borrowAt.set(key, clock.now + BORROW_PERIOD_MS);
    const lender = allowances.chooseLender(group);
    if (lender === undefined) return;
    borrower.borrow(group, Math.min(wanted, MAXIMUM_BORROWED), lender);
  }

  #notifyDrained(): void {
    if (this.#unfinished === 0) this.#drained?.();
  }

  #open(name: string): ServiceDispatch {
    const known = this.#services.get(name);
    if (known !== undefined) return known;
    const { clock, gate, allowances, metrics, ownDataCentre } = this.#options;
    const created = new ServiceDispatch({ name, clock, gate, allowances, metrics, ownDataCentre });
    created.configure(this.#state, this.#state, clock.now);
    this.#services.set(name, created);
    return created;
  }
}

const MS_PER_SECOND = 1_000;
