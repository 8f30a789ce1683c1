/**
 * Number of different jobs that must fail on a target, with no success in between, before it is
 * suspect.
 */
const SUSPECT_JOB_COUNT = 2;
/** Milliseconds for which a suspect target gets no new work before it is tried again. */
const SUSPECT_MS = 4_000;
/** Weight of a new observation in the moving average of a target's slowness. */
const SMOOTHING_FACTOR = 0.3;
/** Upper bound of the failed jobs that are remembered per target. */
const MAXIMUM_FAILED_JOBS = 8;

/** Learns from the ends of tasks whether a target fails its tasks or is slow. */
export class TargetHealth {
  readonly #failedJobs = new Set<string>();
  #suspectUntil = 0;
  #slowness = 1;

  /** Moving average of the ratio of actual to expected duration of tasks; 1 is healthy. */
  get slowness(): number {
    return this.#slowness;
  }

  /** Records a task that succeeded; `ratio` is its actual duration over the expected one. */
  recordSuccess(ratio: number): void {
    this.#failedJobs.clear();
    this.#suspectUntil = 0;
    this.#slowness += SMOOTHING_FACTOR * (ratio - this.#slowness);
  }

  /** Records that a copy elsewhere ended before a run here; `ratio` is what this run had taken. */
  recordOvertaken(ratio: number): void {
    this.#slowness += SMOOTHING_FACTOR * Math.max(0, ratio - this.#slowness);
  }

  /** Records a failed run. Failures of a single job are attributed to the job, not the target. */
  recordFailure(jobId: string, now: number): void {
    if (this.#failedJobs.size < MAXIMUM_FAILED_JOBS) this.#failedJobs.add(jobId);
    if (this.#failedJobs.size >= SUSPECT_JOB_COUNT) this.#suspectUntil = now + SUSPECT_MS;
  }

  /** Whether the target should get no new work at `now`. */
  isSuspect(now: number): boolean {
    return now < this.#suspectUntil;
  }
}
