/** Header by which a stand-in caller names its team to targets. */
export const TEAM_HEADER = 'standin-team';
/** Header by which a stand-in caller labels a request, the same for all its sends. */
export const LABEL_HEADER = 'standin-label';

/** One request that ran at a target. */
export interface Run {
  readonly id: string;
  readonly vm: string;
  readonly team: string;
  readonly label: string;
  /** Milliseconds of this process's monotonic clock. */
  readonly startedAt: number;
}

/** What ran at all targets of a fleet, and how much at once for each team. */
export class RunLog {
  readonly runs: Run[] = [];
  readonly #running = new Map<string, number>();
  readonly #peaks = new Map<string, number>();

  /** Records the start of a run. */
  start(run: Run): void {
    this.runs.push(run);
    const running = (this.#running.get(run.team) ?? 0) + 1;
    this.#running.set(run.team, running);
    this.#peaks.set(run.team, Math.max(running, this.#peaks.get(run.team) ?? 0));
  }

  /** Records the end of a run. */
  finish(run: Run): void {
    this.#running.set(run.team, (this.#running.get(run.team) ?? 1) - 1);
  }

  /** Gets the most that ran at once for a team. */
  getPeak(team: string): number {
    return this.#peaks.get(team) ?? 0;
  }

  /** Counts the runs with a label. */
  countLabel(label: string): number {
    return this.runs.filter((run) => run.label === label).length;
  }
}
