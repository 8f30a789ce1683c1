/** One run on a stand-in target, as the target itself saw it. */
export interface RunRecord {
  readonly task: string;
  readonly run: number;
  readonly target: string;
  /** Steady instants of the test's process. */
  readonly startedAt: number;
  endedAt: number | undefined;
  how: string | undefined;
  /** The end was acknowledged. */
  isNoted: boolean;
}

/** All runs on all targets of a stand-in. */
export class RunBook {
  readonly runs: RunRecord[] = [];

  /** Lists the runs of a submission. */
  listOf(id: string): RunRecord[] {
    return this.runs.filter(({ task }) => task.startsWith(`${id}.`));
  }

  /** Finds tasks of which two runs overlap, or that started again after a noted done end. */
  findDoubles(): string[] {
    const byTask = new Map<string, RunRecord[]>();
    for (const run of this.runs) byTask.set(run.task, [...(byTask.get(run.task) ?? []), run]);
    return [...byTask].filter(([, runs]) => hasDouble(runs)).map(([task]) => task);
  }
}

function hasDouble(runs: readonly RunRecord[]): boolean {
  return runs.some((first) =>
    runs.some((second) => {
      if (first === second || second.startedAt < first.startedAt) return false;
      const isOverlap = first.endedAt === undefined || second.startedAt < first.endedAt;
      return isOverlap || (first.how === 'done' && first.isNoted);
    }),
  );
}
