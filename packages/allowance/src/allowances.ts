import type { EnvironmentState, Service } from '@currantgap/environment';
import type { Incarnation, ServiceName, TeamName } from '@currantgap/model';
import { DemandBook, type Demand } from './demand.ts';
import { computeDivision, ServiceDivision } from './division.ts';
import { GroupKind, HoldingBook, type Group, type Holding } from './holding.ts';
import { PermitLedger } from './ledger.ts';
import { planLoans, type HolderReport } from './lending.ts';
import { OwedLoans, type Give, type OwedLoan } from './owed-loans.ts';
import { settleLoweredLimits, type MemberState } from './lowered-limits.ts';
import {
  formatSlotResource,
  formatTeamResource,
  type PermitCount,
  type PermitRecord,
  type PermitTransfer,
  type ResourceName,
} from './permit.ts';
import { findUnowned } from './settlement.ts';

/** What one entry tells another about permits and demand. */
export interface AllowanceReport extends MemberState {
  readonly demands: readonly Demand[];
  readonly holdings: readonly Holding[];
  readonly transfers: readonly PermitTransfer[];
  /** Transfers of the receiver that the sender has taken over. */
  readonly acknowledged: readonly PermitTransfer[];
}

const UNDIVIDED = new ServiceDivision(new Map());

/**
 * The permits of one entry together with what it knows of demand elsewhere: decides which permits
 * to lend, and when a lowered limit has settled.
 */
export class Allowances {
  readonly #self: Incarnation;
  readonly #ledger: PermitLedger;
  readonly #demands: DemandBook;
  readonly #holdings = new HoldingBook();
  readonly #peers = new Map<Incarnation, MemberState>();
  readonly #toAcknowledge = new Map<Incarnation, PermitTransfer[]>();
  readonly #divisions = new Map<ServiceName, ServiceDivision>();
  #state: EnvironmentState;
  #members: readonly Incarnation[];
  readonly #owed = new OwedLoans();
  #isSettled = false;
  /** Slots of each service on VMs that may be used, under the present configuration. */
  #slotResources: ReadonlyMap<ServiceName, readonly ResourceName[]> = new Map();
  /** What this entry held after it last lent. */
  #ownHoldings: readonly Holding[] = [];

  constructor(self: Incarnation, state: EnvironmentState) {
    this.#self = self;
    this.#state = state;
    this.#members = [self];
    this.#ledger = new PermitLedger(self);
    this.#demands = new DemandBook(self);
  }

  /** Incarnations of the view, this one included. */
  get members(): readonly Incarnation[] {
    return this.#members;
  }

  /** Applies a configuration: the limits of teams and the slots of targets. */
  configure(state: EnvironmentState): void {
    this.#state = state;
    this.#slotResources = new Map(
      state.document.services.map((service) => [service.name, this.#collectOpenSlots(service)]),
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

  /** Applies a view: forgets incarnations that left it. */
  setMembers(members: readonly Incarnation[], isSettled: boolean): void {
    for (const former of this.#members) {
      if (!members.includes(former)) this.#removePeer(former);
    }
    this.#members = members;
    this.#isSettled = isSettled;
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

  /** Counts what runs for a team over the whole fleet, as far as peers reported it. */
  countTeamRunning(team: TeamName): number {
    return this.#demands.countTeamRunning(team);
  }

  /** Counts what this entry holds of a group on VMs that may be used. */
  countHeld(group: Group): number {
    if (group.kind === GroupKind.Team)
      return this.#ledger.count(formatTeamResource(group.name)).held;
    return this.#listSlotResources(group.name).reduce(
      (sum, resource) => sum + this.#ledger.count(resource).held,
      0,
    );
  }

  /** Sets the demand at this entry and computes anew how services divide. */
  setDemand(demands: readonly Demand[]): void {
    this.#demands.setOwn(demands);
    const shares = new Map(this.#state.document.teams.map((team) => [team.name, team.share]));
    for (const service of this.#state.document.services) {
      if (!this.#demands.isWanted(service.name)) {
        this.#divisions.delete(service.name);
        continue;
      }
      const slots = this.#listSlotResources(service.name).length * service.slots;
      this.#divisions.set(
        service.name,
        computeDivision({
          service: service.name,
          slots,
          members: this.#members,
          shares,
          demands: this.#demands,
        }),
      );
    }
  }

  /** Gets the slots of a service that a team should have at this entry. */
  getPart(service: ServiceName, team: TeamName): number {
    return this.#getDivision(service).getPart(this.#self, team);
  }

  /** Builds the report for a peer. */
  buildReport(to: Incarnation): AllowanceReport {
    return {
      ...this.#describeOwnState(),
      demands: this.#demands.listChanges(to),
      holdings: this.#holdings.listChanges(to, this.#ownHoldings),
      transfers: this.#ledger.listOutgoing(to),
      acknowledged: this.#toAcknowledge.get(to) ?? [],
    };
  }

  /** Records that a peer has received a report. */
  recordSent(to: Incarnation, report: AllowanceReport): void {
    this.#demands.recordSent(to, report.demands);
    this.#holdings.recordSent(to, report.holdings);
    const sent = new Set(report.acknowledged);
    const left = (this.#toAcknowledge.get(to) ?? []).filter((transfer) => !sent.has(transfer));
    this.#toAcknowledge.set(to, left);
  }

  /**
   * Receives the report of a member. The caller has checked that it is one, and answers that the
   * transfers were taken over.
   */
  receiveReport(from: Incarnation, report: AllowanceReport): void {
    this.#peers.set(from, report);
    this.#demands.apply(from, report.demands);
    this.#holdings.apply(from, report.holdings);
    for (const holding of report.holdings) this.#owed.recordReport(from, holding);
    this.#ledger.acknowledge(from, report.acknowledged);
    this.#ledger.receive(report.transfers);
    this.#settleLimits();
  }

  /** Records that a peer has taken over transfers. */
  acknowledge(from: Incarnation, transfers: readonly PermitTransfer[]): void {
    this.#ledger.acknowledge(from, transfers);
  }

  /** Receives borrowed permits of a member; they are acknowledged with the next report to it. */
  receiveTransfers(from: Incarnation, transfers: readonly PermitTransfer[]): void {
    if (transfers.length === 0) return;
    this.#ledger.receive(transfers);
    this.#toAcknowledge.set(from, [...(this.#toAcknowledge.get(from) ?? []), ...transfers]);
  }

  /** Gives permits to the entries that need them more; they go out with the next reports. */
  lend(): void {
    this.#settleLimits();
    if (this.#members.length < 2) return;
    const loans: OwedLoan[] = [];
    for (const group of this.#listGroups()) {
      for (const { from, to, count } of planLoans(this.#listHolders(group))) {
        if (from === this.#self) loans.push({ group, to, count });
      }
    }
    this.#owed.set(loans, this.#giveCounted);
    this.#ownHoldings = this.#listHoldings();
  }

  /** Gives permits that have fallen free to whom they are owed; returns who was given some. */
  settleLoans(): Set<Incarnation> {
    return this.#owed.settle(this.#giveCounted);
  }

  /** Lends up to `count` permits of a group at the request of a peer, keeping what is needed here. */
  lendTo(group: Group, count: number, to: Incarnation): PermitTransfer[] {
    const own = this.#countNeed(this.#self, group);
    const spare = Math.max(0, this.countHeld(group) - Math.ceil(own));
    return this.#give(group, Math.min(count, spare), to);
  }

  /** Chooses the peer to borrow from: the one known to hold most beyond its need. */
  chooseLender(group: Group): Incarnation | undefined {
    let best: Incarnation | undefined;
    let bestSpare = 0;
    for (const { holder, held, need } of this.#listHolders(group)) {
      if (holder === this.#self || held - need <= bestSpare) continue;
      best = holder;
      bestSpare = held - need;
    }
    return best;
  }

  /** Gives everything to a peer before a planned stop. */
  giveAll(to: Incarnation): void {
    this.#ledger.giveAll(to);
  }

  /** Whether peers have taken over everything that was given to them. */
  isDrained(): boolean {
    return this.#ledger.isDrained();
  }

  /** Lists the newest record of every permit, for a settlement. */
  listRecords(): PermitRecord[] {
    return this.#ledger.listRecords();
  }

  /** Takes over the permits that no member of the view owns; returns how many. */
  settle(records: readonly PermitRecord[], members: readonly Incarnation[]): number {
    const unowned = findUnowned({
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
    this.#owed.removePeer(peer);
    this.#peers.delete(peer);
    this.#toAcknowledge.delete(peer);
  }

  #describeOwnState(): MemberState {
    return {
      sequence: this.#state.sequence,
      isSettled: this.#isSettled,
      overhangs: this.#ledger.listOverhangs(),
    };
  }

  #settleLimits(): void {
    const others = this.#members
      .filter((member) => member !== this.#self)
      .map((member) => this.#peers.get(member));
    settleLoweredLimits(this.#ledger, this.#describeOwnState(), others);
  }

  readonly #giveCounted: Give = (group, count, to) => this.#give(group, count, to).length;

  #give(group: Group, count: number, to: Incarnation): PermitTransfer[] {
    if (group.kind === GroupKind.Team) {
      return this.#ledger.give(formatTeamResource(group.name), count, to);
    }
    return this.#giveSlots(group.name, count, to);
  }

  /** Gives slots one by one from the VM of which this entry has most to spare. */
  #giveSlots(service: ServiceName, count: number, to: Incarnation): PermitTransfer[] {
    const given: PermitTransfer[] = [];
    const resources = this.#listSlotResources(service);
    for (let step = 0; step < count; step += 1) {
      const richest = resources.reduce<ResourceName | undefined>(
        (best, resource) =>
          best === undefined || this.#countFree(resource) > this.#countFree(best) ? resource : best,
        undefined,
      );
      const transfers = richest === undefined ? [] : this.#ledger.give(richest, 1, to);
      if (transfers.length === 0) return given;
      given.push(...transfers);
    }
    return given;
  }

  #countFree(resource: ResourceName): number {
    const { held, running } = this.#ledger.count(resource);
    return held - running;
  }

  #listHolders(group: Group): HolderReport[] {
    return this.#members.map((holder) => ({
      holder,
      held: holder === this.#self ? this.countHeld(group) : this.#countPeerHeld(holder, group),
      need: this.#countNeed(holder, group),
    }));
  }

  /** What a peer reported, and what was given to it since. */
  #countPeerHeld(peer: Incarnation, group: Group): number {
    return this.#holdings.count(peer, group) + this.#owed.countGiven(peer, group);
  }

  #countNeed(entry: Incarnation, group: Group): number {
    return group.kind === GroupKind.Team
      ? this.#demands.countTeamNeed(entry, group.name)
      : this.#getDivision(group.name).countNeed(entry);
  }

  #getDivision(service: ServiceName): ServiceDivision {
    return this.#divisions.get(service) ?? UNDIVIDED;
  }

  #listHoldings(): Holding[] {
    return this.#listGroups().map((group) => ({ ...group, held: this.countHeld(group) }));
  }

  #listGroups(): Group[] {
    const { teams, services } = this.#state.document;
    return [
      ...teams.map((team) => ({ kind: GroupKind.Team, name: team.name })),
      ...services.map((service) => ({ kind: GroupKind.Service, name: service.name })),
    ];
  }

  #listSlotResources(service: ServiceName): readonly ResourceName[] {
    return this.#slotResources.get(service) ?? [];
  }

  /** Lists the slots of a service on VMs that may be used. */
  #collectOpenSlots(service: Service): ResourceName[] {
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
    for (const service of this.#state.document.services) this.#collectSlots(service, limits);
    return limits;
  }

  #collectSlots(service: Service, limits: Map<ResourceName, number>): void {
    for (const vm of this.#state.listVms(service.pool)) {
      limits.set(formatSlotResource(service.name, vm.name), service.slots);
    }
  }
}
