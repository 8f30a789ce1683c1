import type { Incarnation, ServiceName, TeamName } from '@currantgap/model';
import { computeMaxMinAllocation } from '@currantgap/sharing';
import { countNeed, type DemandBook } from './demand.ts';

/** Shares of the teams by name. */
export type ShareTable = ReadonlyMap<TeamName, number>;

/** How the slots of one service divide among teams at each entry. */
export class ServiceDivision {
  readonly #parts = new Map<Incarnation, Map<TeamName, number>>();

  constructor(parts: Map<Incarnation, Map<TeamName, number>>) {
    this.#parts = parts;
  }

  /** Gets the slots that a team should have at an entry. */
  getPart(entry: Incarnation, team: TeamName): number {
    return this.#parts.get(entry)?.get(team) ?? 0;
  }

  /** Counts the slots that an entry should have for all teams. */
  countNeed(entry: Incarnation): number {
    let sum = 0;
    for (const part of this.#parts.get(entry)?.values() ?? []) sum += part;
    return sum;
  }
}

/** Input of a division. */
export interface DivisionInput {
  readonly service: ServiceName;
  /** Slots of the service that may be used now. */
  readonly slots: number;
  readonly members: readonly Incarnation[];
  readonly shares: ShareTable;
  readonly demands: DemandBook;
}

/**
 * Divides the slots of a service over the whole fleet: weighted max-min among teams by the sum of
 * their demand, then each team's part among the entries in proportion to its demand there. Where
 * callers land on the entries changes no team's part.
 */
export function computeDivision(input: DivisionInput): ServiceDivision {
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
  const parts = computeMaxMinAllocation(input.slots, claims);
  const divided = new Map<Incarnation, Map<TeamName, number>>();
  for (const [member, teams] of needs) {
    divided.set(member, splitByNeed(teams, totals, parts));
  }
  return new ServiceDivision(divided);
}

function collectNeeds(input: DivisionInput): Map<Incarnation, Map<TeamName, number>> {
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
  parts: ReadonlyMap<TeamName, number>,
): Map<TeamName, number> {
  const split = new Map<TeamName, number>();
  for (const [team, need] of needs) {
    const total = totals.get(team) ?? 0;
    if (total > 0) split.set(team, ((parts.get(team) ?? 0) * need) / total);
  }
  return split;
}
