/** One run of a task on a stand-in target, as the target recorded it. */
export interface RunRecord {
  readonly task: string;
  readonly run: number;
  readonly target: string;
  /** Milliseconds on the test process's monotonic clock. */
  readonly startedAt: number;
  /** Milliseconds on the same clock; undefined while the run is active. */
  endedAt: number | undefined;
  /** How the run ended, as the target reports it; undefined while the run is active. */
  endKind: string | undefined;
  /** Whether the owner has acknowledged the end. */
  isAcknowledged: boolean;
  /** Whether the target's lease lapsed before that, so that the end does not count as noted. */
  isVoid: boolean;
}

/** The runs on all stand-in targets of a deployment. */
export class RunHistory {
  readonly runs: RunRecord[] = [];

  /** Lists the runs of the tasks of a submission. */
  listRuns(id: string): RunRecord[] {
    return this.runs.filter(({ task }) => task.startsWith(`${id}.`));
  }

  /**
   * Finds tasks whose runs overlap, or that ran again after a `done` end that was acknowledged before the lease
   * of its target lapsed.
   */
  findDuplicateTasks(): string[] {
    const byTask = new Map<string, RunRecord[]>();
    for (const run of this.runs) byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
    return [...byTask].filter(([, runs]) => hasDuplicateRun(runs)).map(([task]) => task);
  }
}

function hasDuplicateRun(runs: readonly RunRecord[]): boolean {
  return runs.some((first) =>
    runs.some((second) => {
      if (first === second || second.startedAt < first.startedAt) return false;
      const isOverlapping = first.endedAt === undefined || second.startedAt < first.endedAt;
      return isOverlapping || (first.endKind === 'done' && first.isAcknowledged && !first.isVoid);
    }),
  );
}
