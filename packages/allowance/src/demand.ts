import type { Incarnation, ServiceName, TeamName } from '@currantgap/model';

/** Demand of one team for the slots of one service at one entry. */
export interface Demand {
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly running: number;
  readonly waiting: number;
}

/** Maximum number of demand changes in one report to a peer. */
export const MAXIMUM_REPORTED_DEMANDS = 24;
/** Fraction of the last reported demand by which it must change before it is reported again. */
const MINIMUM_REPORTED_CHANGE = 0.2;

type DemandTable = Map<ServiceName, Map<TeamName, Demand>>;

/** Tracks the demand at this entry and the demand that each peer last reported. */
export class DemandTracker {
  readonly #self: Incarnation;
  readonly #byEntry = new Map<Incarnation, DemandTable>();
  readonly #sent = new Map<Incarnation, DemandTable>();

  constructor(self: Incarnation) {
    this.#self = self;
  }

  /** Replaces the demand at this entry; teams and services that are not listed have none. */
  setLocalDemands(demands: readonly Demand[]): void {
    const table: DemandTable = new Map();
    for (const demand of demands) setDemand(table, demand);
    this.#byEntry.set(this.#self, table);
  }

  /** Applies demand changes reported by a peer. */
  apply(from: Incarnation, demands: readonly Demand[]): void {
    const table = this.#byEntry.get(from) ?? new Map<ServiceName, Map<TeamName, Demand>>();
    for (const demand of demands) setDemand(table, demand);
    this.#byEntry.set(from, table);
  }

  /** Discards the state of an incarnation that left the view. */
  removePeer(peer: Incarnation): void {
    this.#byEntry.delete(peer);
    this.#sent.delete(peer);
  }

  /** Lists the changes not yet sent to a peer, largest first, up to `MAXIMUM_REPORTED_DEMANDS`. */
  listChanges(to: Incarnation): Demand[] {
    const own = this.#byEntry.get(this.#self) ?? new Map<ServiceName, Map<TeamName, Demand>>();
    const sent = this.#sent.get(to) ?? new Map<ServiceName, Map<TeamName, Demand>>();
    const changes = listDemands(own).filter((demand) => hasChanged(demand, sent));
    for (const demand of listDemands(sent)) {
      const isRemoved = own.get(demand.service)?.has(demand.team) !== true;
      if (isRemoved && countNeed(demand) > 0) changes.push({ ...demand, running: 0, waiting: 0 });
    }
    changes.sort((left, right) => countNeed(right) - countNeed(left));
    return changes.slice(0, MAXIMUM_REPORTED_DEMANDS);
  }

  /** Records that a peer has received these changes. */
  recordSent(to: Incarnation, demands: readonly Demand[]): void {
    const table = this.#sent.get(to) ?? new Map<ServiceName, Map<TeamName, Demand>>();
    for (const demand of demands) setDemand(table, demand);
    this.#sent.set(to, table);
  }

  /** Counts the slots that a team could use at an entry, over all services. */
  countTeamNeed(entry: Incarnation, team: TeamName): number {
    let need = 0;
    for (const teams of this.#byEntry.get(entry)?.values() ?? []) {
      const demand = teams.get(team);
      if (demand !== undefined) need += countNeed(demand);
    }
    return need;
  }

  /** Counts a team's running requests at all entries, using the latest reports. */
  countTeamRunning(team: TeamName): number {
    let running = 0;
    for (const table of this.#byEntry.values()) {
      for (const teams of table.values()) running += teams.get(team)?.running ?? 0;
    }
    return running;
  }

  /** Whether any entry has demand for a service. */
  hasDemand(service: ServiceName): boolean {
    for (const table of this.#byEntry.values()) {
      for (const demand of table.get(service)?.values() ?? []) {
        if (countNeed(demand) > 0) return true;
      }
    }
    return false;
  }

  /** Lists the demand of each team for a service at an entry. */
  listServiceDemands(entry: Incarnation, service: ServiceName): Demand[] {
    return [...(this.#byEntry.get(entry)?.get(service)?.values() ?? [])];
  }
}

/** Counts the slots that a demand could use: running plus waiting requests. */
export function countNeed(demand: Demand): number {
  return demand.running + demand.waiting;
}

function setDemand(table: DemandTable, demand: Demand): void {
  const teams = table.get(demand.service) ?? new Map<TeamName, Demand>();
  teams.set(demand.team, demand);
  table.set(demand.service, teams);
}

function listDemands(table: DemandTable): Demand[] {
  return [...table.values()].flatMap((teams) => [...teams.values()]);
}

function hasChanged(demand: Demand, sent: DemandTable): boolean {
  const last = sent.get(demand.service)?.get(demand.team);
  const before = last === undefined ? 0 : countNeed(last);
  const after = countNeed(demand);
  if ((before === 0) !== (after === 0)) return true;
  return Math.abs(after - before) > Math.max(1, before * MINIMUM_REPORTED_CHANGE);
}
