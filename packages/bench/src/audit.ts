import type { EnvironmentDocument } from '@currantgap/environment';
import type { RunLog } from '@currantgap/standins';
import type { TeamResult } from './load.ts';

/** Promises checked after a load; all counts are zero when they were kept. */
export interface Audit {
  /** Labels that ran more than once. */
  readonly duplicates: number;
  /** Requests answered as not run that ran all the same. */
  readonly falseNotRun: number;
  /** Teams that had more running than their limit. */
  readonly limitOvershoots: number;
  /** Answers that were cut off. */
  readonly lostAnswers: number;
}

/** Checks what ran against what callers were told. */
export function checkPromises(
  log: RunLog,
  results: readonly TeamResult[],
  document: EnvironmentDocument,
): Audit {
  const counts = new Map<string, number>();
  for (const { label } of log.runs) {
    if (label !== '') counts.set(label, (counts.get(label) ?? 0) + 1);
  }
  const notRun = results.flatMap((result) => result.notRunLabels);
  return {
    duplicates: [...counts.values()].filter((count) => count > 1).length,
    falseNotRun: notRun.filter((label) => counts.has(label)).length,
    limitOvershoots: document.teams.filter((team) => log.getPeak(team.name) > team.limit).length,
    lostAnswers: results.reduce((sum, result) => sum + result.lost, 0),
  };
}

/** Counts the starts on some VMs at or after an instant. */
export function countLateStarts(
  log: RunLog,
  vms: ReadonlySet<string>,
  from: number,
  to: number,
): number {
  return log.runs.filter((run) => vms.has(run.vm) && run.startedAt >= from && run.startedAt < to)
    .length;
}
