import type { EnvironmentDocument } from '@currantgap/environment';
import type { RunLog } from '@currantgap/standins';
import type { TeamResult } from './load.ts';

/** Violations of the product's guarantees during a load; all counts are zero if there were none. */
export interface Audit {
  /** Requests that ran more than once. */
  readonly duplicates: number;
  /** Requests that ran although their answer was `not-run`. */
  readonly falseNotRun: number;
  /** Teams whose concurrent requests exceeded their limit. */
  readonly limitOvershoots: number;
  /** Requests without a complete answer. */
  readonly lostAnswers: number;
}

/** Compares the runs at the targets with the outcomes that callers received. */
export function checkGuarantees(
  log: RunLog,
  results: readonly TeamResult[],
  document: EnvironmentDocument,
): Audit {
  const counts = new Map<string, number>();
  for (const { label } of log.runs) {
    if (label !== '') counts.set(label, (counts.get(label) ?? 0) + 1);
  }
  const notRunLabels = results.flatMap((result) => result.notRunLabels);
  return {
    duplicates: [...counts.values()].filter((count) => count > 1).length,
    falseNotRun: notRunLabels.filter((label) => counts.has(label)).length,
    limitOvershoots: document.teams.filter((team) => log.getPeak(team.name) > team.limit).length,
    lostAnswers: results.reduce((sum, result) => sum + result.lost, 0),
  };
}

/**
 * Counts the starts on the given VMs from `from` until before `to`, both in milliseconds of this
 * process's monotonic clock.
 */
export function countLateStarts(
  log: RunLog,
  vms: ReadonlySet<string>,
  from: number,
  to: number,
): number {
  return log.runs.filter((run) => vms.has(run.vm) && run.startedAt >= from && run.startedAt < to)
    .length;
}
