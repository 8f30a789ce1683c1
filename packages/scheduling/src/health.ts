/** Failures of different jobs without a success in between that make a target suspect. */
const SUSPECT_FAILURES = 2;
/** Milliseconds for which a suspect target gets no work before it is tried again. */
const PROBATION_MS = 4_000;
/** Share of a new observation in a target's slowness. */
const SMOOTHING = 0.3;
/** Jobs of the latest failures that are kept. */
const FAILED_JOBS_KEPT = 8;

/** Learns from ends and progress which targets fail what they start and which are slow. */
export class TargetHealth {
  readonly #failedJobs = new Set<string>();
  #suspectUntil = 0;
  #slowness = 1;

  /** Elapsed time against expected time of what ended here; 1 is sound. */
  get slowness(): number {
    return this.#slowness;
  }

  /** Records a task that ended well and its time against the expected one. */
  recordSuccess(ratio: number): void {
    this.#failedJobs.clear();
    this.#suspectUntil = 0;
    this.#slowness += SMOOTHING * (ratio - this.#slowness);
  }

  /** Records a failed run; failures of one job alone are put down to the job. */
  recordFailure(jobId: string, now: number): void {
    if (this.#failedJobs.size < FAILED_JOBS_KEPT) this.#failedJobs.add(jobId);
    if (this.#failedJobs.size >= SUSPECT_FAILURES) this.#suspectUntil = now + PROBATION_MS;
  }

  /** Tells whether the target should get no work now. */
  isSuspect(now: number): boolean {
    return now < this.#suspectUntil;
  }
}
