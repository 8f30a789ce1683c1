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

/** Minimum milliseconds between attempts to borrow permits of the same group. */
const BORROW_INTERVAL_MS = 50;
/** Maximum number of permits requested from a peer at once. */
const MAXIMUM_PERMITS_PER_LOAN = 16;

/** Options of the dispatcher. */
export interface DispatcherOptions {
  readonly clock: Clock;
  readonly gate: StartGate;
  readonly allowances: Allowances;
  readonly borrower: Borrower;
  readonly metrics: Metrics;
  readonly ownDataCentre: string;
}

/** Task that owns the queues, permits and target health of an entry, and starts requests. */
export class Dispatcher extends Task<DispatcherMessage> {
  readonly #options: DispatcherOptions;
  readonly #services = new Map<string, ServiceDispatch>();
  readonly #nextBorrowAt = new Map<string, number>();
  #state = EnvironmentState.createEmpty();
  #resolveDrain: (() => void) | undefined;
  #unfinishedCount = 0;

  constructor(options: DispatcherOptions) {
    super();
    this.#options = options;
  }

  /** Counts the requests of a team that are waiting for a service at this entry. */
  countWaiting(service: string, team: string): number {
    return this.#services.get(service)?.queue.count(team) ?? 0;
  }

  /** Whether the estimated wait of a new request exceeds the milliseconds left to its deadline. */
  isWaitTooLong(service: string, team: string, remainingMs: number): boolean {
    return (this.#services.get(service)?.estimateWaitMs(team) ?? 0) > remainingMs;
  }

  protected handle(message: DispatcherMessage): void {
    switch (message.kind) {
      case MessageKind.Arrive:
        this.#unfinishedCount += 1;
        this.#accept(message);
        break;
      case MessageKind.Finish:
        this.#finish(message);
        break;
      case MessageKind.Release:
        for (const resource of message.resources) this.#options.allowances.release(resource);
        this.#lendReleasedPermits();
        this.#dispatchAll();
        break;
      case MessageKind.Configure:
        this.#configure(message.state);
        break;
      case MessageKind.Sweep:
        this.#sweep();
        this.#dispatchAll();
        break;
      case MessageKind.Refresh:
        this.#refresh();
        break;
      case MessageKind.UseAllowances:
        message.use(this.#options.allowances);
        this.#dispatchAll();
        break;
      case MessageKind.Drain:
        this.#resolveDrain = message.resolve;
        this.#notifyIfDrained();
        break;
    }
  }

  #accept({ request, isRetry }: ArriveMessage): void {
    const dispatch = this.#getOrCreateDispatch(request.service.name);
    dispatch.queue.add(request, isRetry);
    this.#dispatchQueue(dispatch);
  }

  #finish(message: FinishMessage): void {
    const { request, vm, status, runMs } = message;
    const dispatch = this.#getOrCreateDispatch(request.service.name);
    dispatch.finish(message);
    this.#unfinishedCount -= 1;
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
    this.#lendReleasedPermits();
    this.#dispatchAll();
    this.#notifyIfDrained();
  }

  /** Lends released permits to the peers of pending loans before local requests can take them. */
  #lendReleasedPermits(): void {
    const { allowances, borrower } = this.#options;
    for (const peer of allowances.lendPending()) borrower.deliver(peer);
  }

  /**
   * Releases the permits of a lost send after the maximum run time. Until then the target may still
   * be running the request; at that time it stops the request itself.
   */
  #releaseLater(request: PendingRequest, vm: string): void {
    const { clock } = this.#options;
    const resources = this.#getOrCreateDispatch(request.service.name).listResources(request, vm);
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
    this.#dispatchAll();
  }

  #refresh(): void {
    const demands = [...this.#services.values()].flatMap((dispatch) => dispatch.collectDemand());
    this.#options.allowances.setDemand(demands);
    for (const dispatch of this.#services.values()) dispatch.setWeights();
  }

  /** Refuses the waiting requests that must not start any more. */
  #sweep(): void {
    for (const dispatch of this.#services.values()) {
      for (const { request, fault } of dispatch.sweep(this.#options.clock.now)) {
        this.#refuse(request, fault);
      }
    }
    this.#notifyIfDrained();
  }

  #refuse(request: PendingRequest, fault: Fault): void {
    this.#unfinishedCount -= 1;
    request.handler.refuse(request, fault);
  }

  #dispatchAll(): void {
    for (const dispatch of this.#services.values()) this.#dispatchQueue(dispatch);
  }

  /** Starts as many requests of a service as possible, and borrows the permits that are missing. */
  #dispatchQueue(dispatch: ServiceDispatch): void {
    if (dispatch.queue.length === 0) return;
    for (const { request, fault } of dispatch.removeLikelyLate(this.#options.clock.now)) {
      this.#refuse(request, fault);
    }
    for (let hasStarted = dispatch.startNext(); hasStarted; hasStarted = dispatch.startNext());
    if (dispatch.queue.length > 0) this.#borrow(dispatch);
  }

  /** Borrows permits for the teams that have none left, and slots if none is free. */
  #borrow(dispatch: ServiceDispatch): void {
    const groups: PermitGroup[] = dispatch.queue
      .listWaitingTeams()
      .filter((team) => !this.#options.allowances.canTake(formatTeamResource(team)))
      .map((team) => ({ kind: PermitGroupKind.Team, name: team }));
    if (!dispatch.hasFreeSlot())
      groups.push({ kind: PermitGroupKind.Service, name: dispatch.name });
    for (const group of groups) this.#borrowGroup(group, dispatch.queue.length);
  }

  #borrowGroup(group: PermitGroup, wantedCount: number): void {
    const { clock, allowances, borrower } = this.#options;
    const key = formatPermitGroup(group);
    if (clock.now < (this.#nextBorrowAt.get(key) ?? -Infinity)) return;
    this.#nextBorrowAt.set(key, clock.now + BORROW_INTERVAL_MS);
    const lender = allowances.chooseLender(group);
    if (lender === undefined) return;
    borrower.borrow(group, Math.min(wantedCount, MAXIMUM_PERMITS_PER_LOAN), lender);
  }

  #notifyIfDrained(): void {
    if (this.#unfinishedCount === 0) this.#resolveDrain?.();
  }

  #getOrCreateDispatch(name: string): ServiceDispatch {
    const existing = this.#services.get(name);
    if (existing !== undefined) return existing;
    const { clock, gate, allowances, metrics, ownDataCentre } = this.#options;
    const created = new ServiceDispatch({ name, clock, gate, allowances, metrics, ownDataCentre });
    created.configure(this.#state, this.#state, clock.now);
    this.#services.set(name, created);
    return created;
  }
}

const MS_PER_SECOND = 1_000;
