import type { EnvironmentState, Service } from '@currantgap/environment';
import type { Incarnation, ServiceName, TeamName } from '@currantgap/model';
import { DemandTracker, type Demand } from './demand.ts';
import { computeAllocation, ServiceAllocation } from './allocation.ts';
import { PermitGroupKind, HoldingTracker, type PermitGroup, type Holding } from './holding.ts';
import { PermitLedger } from './ledger.ts';
import { planLoans, type HolderReport } from './lending.ts';
import { PendingLoans, type GivePermits, type PendingLoan } from './pending-loans.ts';
import { finishLimitReductions, type MemberState } from './limit-reductions.ts';
import {
  formatSlotResource,
  formatTeamResource,
  type PermitCount,
  type PermitRecord,
  type PermitTransfer,
  type ResourceName,
} from './permit.ts';
import { findUnownedPermits } from './reclaim.ts';

/** Report that one entry sends to another about its permits and demand. */
export interface AllowanceReport extends MemberState {
  readonly demands: readonly Demand[];
  readonly holdings: readonly Holding[];
  readonly transfers: readonly PermitTransfer[];
  /** Transfers from the report's recipient whose permits the sender has received. */
  readonly acknowledged: readonly PermitTransfer[];
}

const EMPTY_ALLOCATION = new ServiceAllocation(new Map());

/**
 * Manages the permits of one entry. Tracks the demand and holdings that peers report, decides which
 * permits to lend, and detects when every member has applied a lowered limit.
 */
export class Allowances {
  readonly #self: Incarnation;
  readonly #ledger: PermitLedger;
  readonly #demands: DemandTracker;
  readonly #holdings = new HoldingTracker();
  readonly #peers = new Map<Incarnation, MemberState>();
  readonly #pendingAcknowledgements = new Map<Incarnation, PermitTransfer[]>();
  readonly #allocations = new Map<ServiceName, ServiceAllocation>();
  #state: EnvironmentState;
  #members: readonly Incarnation[];
  readonly #pendingLoans = new PendingLoans();
  #isReclaimComplete = false;
  /** Slots of each service on VMs where work may start, under the current configuration. */
  #slotResources: ReadonlyMap<ServiceName, readonly ResourceName[]> = new Map();
  /** Permits that this entry held after the latest call of `lend`. */
  #holdingsAfterLending: readonly Holding[] = [];

  constructor(self: Incarnation, state: EnvironmentState) {
    this.#self = self;
    this.#state = state;
    this.#members = [self];
    this.#ledger = new PermitLedger(self);
    this.#demands = new DemandTracker(self);
  }

  /** Incarnations of the view, this one included. */
  get members(): readonly Incarnation[] {
    return this.#members;
  }

  /** Applies the team limits and target slots of a configuration. */
  configure(state: EnvironmentState): void {
    this.#state = state;
    this.#slotResources = new Map(
      state.document.services.map((service) => [service.name, this.#collectUsableSlots(service)]),
    );
    const limits = this.#collectLimits();
    for (const [resource, limit] of limits) {
      if (this.#ledger.getLimit(resource) !== limit) {
        this.#ledger.setLimit(resource, limit, state.sequence);
      }
    }
    for (const resource of this.#ledger.listResources()) {
      if (!limits.has(resource)) this.#ledger.setLimit(resource, 0, state.sequence);
    }
  }

  /** Sets the members of the current view and discards the state of incarnations that left it. */
  setMembers(members: readonly Incarnation[], isReclaimComplete: boolean): void {
    for (const previous of this.#members) {
      if (!members.includes(previous)) this.#removePeer(previous);
    }
    this.#members = members;
    this.#isReclaimComplete = isReclaimComplete;
  }

  canTake(resource: ResourceName): boolean {
    return this.#ledger.canTake(resource);
  }

  take(resource: ResourceName): boolean {
    return this.#ledger.take(resource);
  }

  release(resource: ResourceName): void {
    this.#ledger.release(resource);
  }

  count(resource: ResourceName): PermitCount {
    return this.#ledger.count(resource);
  }

  /** Counts a team's running requests across all entries, using the latest reports from peers. */
  countTeamRunning(team: TeamName): number {
    return this.#demands.countTeamRunning(team);
  }

  /** Counts the permits of a group that this entry holds; slots count only on usable VMs. */
  countHeld(group: PermitGroup): number {
    if (group.kind === PermitGroupKind.Team)
      return this.#ledger.count(formatTeamResource(group.name)).held;
    return this.#listSlotResources(group.name).reduce(
      (sum, resource) => sum + this.#ledger.count(resource).held,
      0,
    );
  }

  /** Sets the demand at this entry and recomputes the slot allocation of every service. */
  setDemand(demands: readonly Demand[]): void {
    this.#demands.setLocalDemands(demands);
    const shares = new Map(this.#state.document.teams.map((team) => [team.name, team.share]));
    for (const service of this.#state.document.services) {
      if (!this.#demands.hasDemand(service.name)) {
        this.#allocations.delete(service.name);
        continue;
      }
      const slots = this.#listSlotResources(service.name).length * service.slots;
      this.#allocations.set(
        service.name,
        computeAllocation({
          service: service.name,
          slots,
          members: this.#members,
          shares,
          demands: this.#demands,
        }),
      );
    }
  }

  /** Gets the slots of a service allocated to a team at this entry; may be fractional. */
  getTeamSlots(service: ServiceName, team: TeamName): number {
    return this.#getAllocation(service).getTeamSlots(this.#self, team);
  }

  /** Builds the next report for a peer. */
  buildReport(to: Incarnation): AllowanceReport {
    return {
      ...this.#describeOwnState(),
      demands: this.#demands.listChanges(to),
      holdings: this.#holdings.listChanges(to, this.#holdingsAfterLending),
      transfers: this.#ledger.listOutgoing(to),
      acknowledged: this.#pendingAcknowledgements.get(to) ?? [],
    };
  }

  /** Records that a peer has received a report. */
  recordSent(to: Incarnation, report: AllowanceReport): void {
    this.#demands.recordSent(to, report.demands);
    this.#holdings.recordSent(to, report.holdings);
    const sent = new Set(report.acknowledged);
    const unsent = (this.#pendingAcknowledgements.get(to) ?? []).filter(
      (transfer) => !sent.has(transfer),
    );
    this.#pendingAcknowledgements.set(to, unsent);
  }

  /**
   * Applies the report of a peer. The caller must check that the peer is a member of the view, and
   * must acknowledge the transfers in its response.
   */
  receiveReport(from: Incarnation, report: AllowanceReport): void {
    this.#peers.set(from, report);
    this.#demands.apply(from, report.demands);
    this.#holdings.apply(from, report.holdings);
    for (const holding of report.holdings) this.#pendingLoans.recordReport(from, holding);
    this.#ledger.acknowledge(from, report.acknowledged);
    this.#ledger.receive(report.transfers);
    this.#finishLimitReductions();
  }

  /** Records that a peer has received the permits of these transfers. */
  acknowledge(from: Incarnation, transfers: readonly PermitTransfer[]): void {
    this.#ledger.acknowledge(from, transfers);
  }

  /** Receives borrowed permits from a member and acknowledges them in the next report to it. */
  receiveTransfers(from: Incarnation, transfers: readonly PermitTransfer[]): void {
    if (transfers.length === 0) return;
    this.#ledger.receive(transfers);
    this.#pendingAcknowledgements.set(from, [
      ...(this.#pendingAcknowledgements.get(from) ?? []),
      ...transfers,
    ]);
  }

  /** Lends permits to entries with greater need; the next reports carry the transfers. */
  lend(): void {
    this.#finishLimitReductions();
    if (this.#members.length < 2) return;
    const loans: PendingLoan[] = [];
    for (const group of this.#listGroups()) {
      for (const { from, to, count } of planLoans(this.#listHolders(group))) {
        if (from === this.#self) loans.push({ group, to, count });
      }
    }
    this.#pendingLoans.set(loans, this.#giveAndCount);
    this.#holdingsAfterLending = this.#listHoldings();
  }

  /** Gives released permits to the peers of pending loans and returns those peers. */
  lendPending(): Set<Incarnation> {
    return this.#pendingLoans.lendAvailable(this.#giveAndCount);
  }

  /** Lends a peer up to `count` permits of a group that exceed the need of this entry. */
  lendTo(group: PermitGroup, count: number, to: Incarnation): PermitTransfer[] {
    const need = this.#countNeed(this.#self, group);
    const spare = Math.max(0, this.countHeld(group) - Math.ceil(need));
    return this.#give(group, Math.min(count, spare), to);
  }

  /** Chooses the peer to borrow from: the one known to have the most permits beyond its need. */
  chooseLender(group: PermitGroup): Incarnation | undefined {
    let best: Incarnation | undefined;
    let bestSpare = 0;
    for (const { holder, held, need } of this.#listHolders(group)) {
      if (holder === this.#self || held - need <= bestSpare) continue;
      best = holder;
      bestSpare = held - need;
    }
    return best;
  }

  /** Gives all permits to a peer before a planned stop. */
  giveAll(to: Incarnation): void {
    this.#ledger.giveAll(to);
  }

  /** Whether peers have acknowledged all transfers from this entry. */
  isDrained(): boolean {
    return this.#ledger.isDrained();
  }

  /** Lists the latest known record of every permit, used to find unowned permits. */
  listRecords(): PermitRecord[] {
    return this.#ledger.listRecords();
  }

  /** Takes ownership of the permits that no member of the view owns; returns their number. */
  reclaimUnowned(records: readonly PermitRecord[], members: readonly Incarnation[]): number {
    const unowned = findUnownedPermits({
      members: new Set(members),
      records,
      limits: this.#collectLimits(),
    });
    this.#ledger.receive(unowned);
    return unowned.length;
  }

  #removePeer(peer: Incarnation): void {
    this.#ledger.removePeer(peer);
    this.#demands.removePeer(peer);
    this.#holdings.removePeer(peer);
    this.#pendingLoans.removePeer(peer);
    this.#peers.delete(peer);
    this.#pendingAcknowledgements.delete(peer);
  }

  #describeOwnState(): MemberState {
    return {
      sequence: this.#state.sequence,
      isReclaimComplete: this.#isReclaimComplete,
      excessUsage: this.#ledger.listExcessUsage(),
    };
  }

  #finishLimitReductions(): void {
    const others = this.#members
      .filter((member) => member !== this.#self)
      .map((member) => this.#peers.get(member));
    finishLimitReductions(this.#ledger, this.#describeOwnState(), others);
  }

  readonly #giveAndCount: GivePermits = (group, count, to) => this.#give(group, count, to).length;

  #give(group: PermitGroup, count: number, to: Incarnation): PermitTransfer[] {
    if (group.kind === PermitGroupKind.Team) {
      return this.#ledger.give(formatTeamResource(group.name), count, to);
    }
    return this.#giveSlots(group.name, count, to);
  }

  /** Gives slots one at a time, each from the VM on which this entry has the most free slots. */
  #giveSlots(service: ServiceName, count: number, to: Incarnation): PermitTransfer[] {
    const given: PermitTransfer[] = [];
    const resources = this.#listSlotResources(service);
    for (let step = 0; step < count; step += 1) {
      const mostFree = resources.reduce<ResourceName | undefined>(
        (best, resource) =>
          best === undefined || this.#countFree(resource) > this.#countFree(best) ? resource : best,
        undefined,
      );
      const transfers = mostFree === undefined ? [] : this.#ledger.give(mostFree, 1, to);
      if (transfers.length === 0) return given;
      given.push(...transfers);
    }
    return given;
  }

  #countFree(resource: ResourceName): number {
    const { held, running } = this.#ledger.count(resource);
    return held - running;
  }

  #listHolders(group: PermitGroup): HolderReport[] {
    return this.#members.map((holder) => ({
      holder,
      held: holder === this.#self ? this.countHeld(group) : this.#countPeerHeld(holder, group),
      need: this.#countNeed(holder, group),
    }));
  }

  /** Counts the permits that a peer reported plus those given to it since that report. */
  #countPeerHeld(peer: Incarnation, group: PermitGroup): number {
    return this.#holdings.count(peer, group) + this.#pendingLoans.countUnreported(peer, group);
  }

  #countNeed(entry: Incarnation, group: PermitGroup): number {
    return group.kind === PermitGroupKind.Team
      ? this.#demands.countTeamNeed(entry, group.name)
      : this.#getAllocation(group.name).countSlots(entry);
  }

  #getAllocation(service: ServiceName): ServiceAllocation {
    return this.#allocations.get(service) ?? EMPTY_ALLOCATION;
  }

  #listHoldings(): Holding[] {
    return this.#listGroups().map((group) => ({ ...group, held: this.countHeld(group) }));
  }

  #listGroups(): PermitGroup[] {
    const { teams, services } = this.#state.document;
    return [
      ...teams.map((team) => ({ kind: PermitGroupKind.Team, name: team.name })),
      ...services.map((service) => ({ kind: PermitGroupKind.Service, name: service.name })),
    ];
  }

  #listSlotResources(service: ServiceName): readonly ResourceName[] {
    return this.#slotResources.get(service) ?? [];
  }

  /** Lists the slot resources of a service on VMs where work may start. */
  #collectUsableSlots(service: Service): ResourceName[] {
    return this.#state
      .listVms(service.pool)
      .filter((vm) => this.#state.canStartOn(vm))
      .map((vm) => formatSlotResource(service.name, vm.name));
  }

  #collectLimits(): Map<ResourceName, number> {
    const limits = new Map<ResourceName, number>();
    for (const team of this.#state.document.teams) {
      limits.set(formatTeamResource(team.name), team.limit);
    }
    for (const service of this.#state.document.services) this.#addSlotLimits(service, limits);
    return limits;
  }

  #addSlotLimits(service: Service, limits: Map<ResourceName, number>): void {
    for (const vm of this.#state.listVms(service.pool)) {
      limits.set(formatSlotResource(service.name, vm.name), service.slots);
    }
  }
}
