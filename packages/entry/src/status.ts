import { formatTeamResource } from '@currantgap/allowance';
import { isReclaimComplete } from '@currantgap/membership';
import type { EntryStatus, TeamList } from '@currantgap/operator';
import { useAllowances, type EntryCore } from './core.ts';

/** Builds the status of an entry for the operator interface. */
export function describeStatus(core: EntryCore): EntryStatus {
  const { settings, current, configuration, gate, clock } = core;
  const freshForMs = gate.freshUntil - clock.now;
  return {
    entry: settings.entry.name,
    environment: settings.entry.environment,
    incarnation: current.incarnation,
    epoch: current.view.epoch,
    sequence: configuration.state.sequence,
    documentHash: configuration.state.documentHash,
    freshForMs: Number.isFinite(freshForMs) ? Math.round(freshForMs) : -1,
    isSettled: isReclaimComplete(current.view),
    members: current.view.seats,
  };
}

/** Lists the teams and their usage, as far as this entry knows it. */
export async function listTeams(core: EntryCore): Promise<TeamList> {
  const { teams } = core.configuration.state.document;
  return useAllowances(core, (allowances) => ({
    teams: teams.map(({ name, share, limit }) => ({
      name,
      share,
      limit,
      running: allowances.countTeamRunning(name),
      held: allowances.count(formatTeamResource(name)).held,
    })),
  }));
}
