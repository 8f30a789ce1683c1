import type { Incarnation, ServiceName, TeamName } from '@currantgap/model';
import { computeMaxMinAllocation } from '@currantgap/sharing';
import { countNeed, type DemandTracker } from './demand.ts';

/** Shares of the teams, by team name. */
export type ShareTable = ReadonlyMap<TeamName, number>;

/** Allocation of the slots of one service to teams at each entry. Values may be fractional. */
export class ServiceAllocation {
  readonly #slotsByEntry = new Map<Incarnation, Map<TeamName, number>>();

  constructor(slotsByEntry: Map<Incarnation, Map<TeamName, number>>) {
    this.#slotsByEntry = slotsByEntry;
  }

  /** Gets the slots allocated to a team at an entry. */
  getTeamSlots(entry: Incarnation, team: TeamName): number {
    return this.#slotsByEntry.get(entry)?.get(team) ?? 0;
  }

  /** Counts the slots allocated to an entry for all teams. */
  countSlots(entry: Incarnation): number {
    let sum = 0;
    for (const slots of this.#slotsByEntry.get(entry)?.values() ?? []) sum += slots;
    return sum;
  }
}

/** Input of `computeAllocation`. */
export interface AllocationInput {
  readonly service: ServiceName;
  /** Slots of the service on VMs where work may start. */
  readonly slots: number;
  readonly members: readonly Incarnation[];
  readonly shares: ShareTable;
  readonly demands: DemandTracker;
}

/**
 * Allocates the slots of a service across the whole fleet. Teams share by weighted max-min fairness
 * over their total demand. The slots of each team are then split among the entries in proportion to
 * its demand there, so a team's total does not depend on which entries its callers connect to.
 */
export function computeAllocation(input: AllocationInput): ServiceAllocation {
  const needs = collectNeeds(input);
  const totals = new Map<TeamName, number>();
  for (const teams of needs.values()) {
    for (const [team, need] of teams) totals.set(team, (totals.get(team) ?? 0) + need);
  }
  const claims = [...totals].map(([name, demand]) => ({
    name,
    demand,
    weight: input.shares.get(name) ?? 0,
  }));
  const slotsByTeam = computeMaxMinAllocation(input.slots, claims);
  const slotsByEntry = new Map<Incarnation, Map<TeamName, number>>();
  for (const [member, teams] of needs) {
    slotsByEntry.set(member, splitByNeed(teams, totals, slotsByTeam));
  }
  return new ServiceAllocation(slotsByEntry);
}

function collectNeeds(input: AllocationInput): Map<Incarnation, Map<TeamName, number>> {
  return new Map(
    input.members.map((member) => {
      const demands = input.demands.listServiceDemands(member, input.service);
      return [member, new Map(demands.map((demand) => [demand.team, countNeed(demand)]))];
    }),
  );
}

function splitByNeed(
  needs: ReadonlyMap<TeamName, number>,
  totals: ReadonlyMap<TeamName, number>,
  slotsByTeam: ReadonlyMap<TeamName, number>,
): Map<TeamName, number> {
  const split = new Map<TeamName, number>();
  for (const [team, need] of needs) {
    const total = totals.get(team) ?? 0;
    if (total > 0) split.set(team, ((slotsByTeam.get(team) ?? 0) * need) / total);
  }
  return split;
}
