import type { Incarnation, ServiceName, TeamName } from '@currantgap/model';

/** What one team wants of one service at one entry. */
export interface Demand {
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly running: number;
  readonly waiting: number;
}

/** Changes of demand reported to one peer at a time. */
export const MAXIMUM_REPORTED_DEMANDS = 24;
/** Part of its last reported value by which a demand must change to be reported again. */
const REPORTED_CHANGE = 0.2;

type DemandTable = Map<ServiceName, Map<TeamName, Demand>>;

/** The demand at every entry of the view, as far as it was reported. */
export class DemandBook {
  readonly #self: Incarnation;
  readonly #byEntry = new Map<Incarnation, DemandTable>();
  readonly #sent = new Map<Incarnation, DemandTable>();

  constructor(self: Incarnation) {
    this.#self = self;
  }

  /** Sets the demand at this entry; what is not listed is no longer wanted. */
  setOwn(demands: readonly Demand[]): void {
    const table: DemandTable = new Map();
    for (const demand of demands) setDemand(table, demand);
    this.#byEntry.set(this.#self, table);
  }

  /** Applies the changes that a peer reported. */
  apply(from: Incarnation, demands: readonly Demand[]): void {
    const table = this.#byEntry.get(from) ?? new Map<ServiceName, Map<TeamName, Demand>>();
    for (const demand of demands) setDemand(table, demand);
    this.#byEntry.set(from, table);
  }

  /** Forgets an incarnation that left the view. */
  removePeer(peer: Incarnation): void {
    this.#byEntry.delete(peer);
    this.#sent.delete(peer);
  }

  /** Lists the changes that a peer has not been sent, largest first, up to the maximum. */
  listChanges(to: Incarnation): Demand[] {
    const own = this.#byEntry.get(this.#self) ?? new Map<ServiceName, Map<TeamName, Demand>>();
    const sent = this.#sent.get(to) ?? new Map<ServiceName, Map<TeamName, Demand>>();
    const changes = listDemands(own).filter((demand) => hasChanged(demand, sent));
    for (const demand of listDemands(sent)) {
      const isGone = own.get(demand.service)?.has(demand.team) !== true;
      if (isGone && countNeed(demand) > 0) changes.push({ ...demand, running: 0, waiting: 0 });
    }
    changes.sort((left, right) => countNeed(right) - countNeed(left));
    return changes.slice(0, MAXIMUM_REPORTED_DEMANDS);
  }

  /** Records that a peer has received changes. */
  recordSent(to: Incarnation, demands: readonly Demand[]): void {
    const table = this.#sent.get(to) ?? new Map<ServiceName, Map<TeamName, Demand>>();
    for (const demand of demands) setDemand(table, demand);
    this.#sent.set(to, table);
  }

  /** Counts what an entry wants for a team, of one service or of all. */
  countTeamNeed(entry: Incarnation, team: TeamName): number {
    let need = 0;
    for (const teams of this.#byEntry.get(entry)?.values() ?? []) {
      const demand = teams.get(team);
      if (demand !== undefined) need += countNeed(demand);
    }
    return need;
  }

  /** Counts what runs for a team at all entries, as far as it was reported. */
  countTeamRunning(team: TeamName): number {
    let running = 0;
    for (const table of this.#byEntry.values()) {
      for (const teams of table.values()) running += teams.get(team)?.running ?? 0;
    }
    return running;
  }

  /** Whether any entry wants a service. */
  isWanted(service: ServiceName): boolean {
    for (const table of this.#byEntry.values()) {
      for (const demand of table.get(service)?.values() ?? []) {
        if (countNeed(demand) > 0) return true;
      }
    }
    return false;
  }

  /** Lists what an entry wants of a service. */
  listServiceDemands(entry: Incarnation, service: ServiceName): Demand[] {
    return [...(this.#byEntry.get(entry)?.get(service)?.values() ?? [])];
  }
}

/** Counts the slots that a demand could use. */
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
  return Math.abs(after - before) > Math.max(1, before * REPORTED_CHANGE);
}
