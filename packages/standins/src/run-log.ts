/** Header in which a stand-in caller names its team. */
export const TEAM_HEADER = 'standin-team';
/** Header with the label of a request, which is the same for all attempts. */
export const LABEL_HEADER = 'standin-label';

/** One execution of a request at a target. */
export interface Run {
  readonly id: string;
  readonly vm: string;
  readonly team: string;
  readonly label: string;
  /** Milliseconds on this process's monotonic clock. */
  readonly startedAt: number;
}

/** Records the runs at all targets of a fleet and the peak concurrency of each team. */
export class RunLog {
  readonly runs: Run[] = [];
  readonly #running = new Map<string, number>();
  readonly #peaks = new Map<string, number>();

  /** Records the start of a run. */
  recordStart(run: Run): void {
    this.runs.push(run);
    const running = (this.#running.get(run.team) ?? 0) + 1;
    this.#running.set(run.team, running);
    this.#peaks.set(run.team, Math.max(running, this.#peaks.get(run.team) ?? 0));
  }

  /** Records the end of a run. */
  recordEnd(run: Run): void {
    this.#running.set(run.team, (this.#running.get(run.team) ?? 1) - 1);
  }

  /** Returns the highest number of concurrent runs of a team. */
  getPeak(team: string): number {
    return this.#peaks.get(team) ?? 0;
  }

  /** Counts the runs with a label. */
  countLabel(label: string): number {
    return this.runs.filter((run) => run.label === label).length;
  }
}
