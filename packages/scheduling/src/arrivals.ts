/** Windows in which arrivals are counted, in milliseconds, longest first. */
const WINDOWS_MS = [2_000, 1_000, 400, 200] as const;
const LONGEST_WINDOW_MS = WINDOWS_MS[0];
/**
 * Shortest window that shows a fall: submissions reach the owner by a feed, which may stand still for
 * some hundred milliseconds.
 */
const FALL_WINDOW_MS = 1_000;
/** Fewest arrivals in a window that count as a rate; fewer may be chance. */
const MINIMUM_ARRIVALS = 3;
/** Standard deviations of a count by which a shorter window must differ from the rate of a longer one. */
const SIGNIFICANT_RISE = 1.25;
const SIGNIFICANT_FALL = 3;
/**
 * Weight of a new submission in the moving average of the work per submission. The first submissions
 * are averaged with equal weights.
 */
const SMOOTHING_FACTOR = 0.04;

/** Arrival of a submission. */
interface Arrival {
  /** Milliseconds on a monotonic clock. */
  readonly at: number;
  /** Thousandths of a core times milliseconds. */
  readonly cpuWork: number;
  /** Megabytes times milliseconds. */
  readonly memoryWork: number;
}

/** Resources that a pool will have in use if arrivals continue at the current rate. */
export interface ArrivalLoad {
  readonly cpuMillis: number;
  readonly memoryMb: number;
}

/**
 * Estimates the load of a pool from the arrivals of submissions.
 *
 * A quiet queue can suddenly receive several times its mean load, in submissions of very different
 * sizes. Running and waiting work shows such a rise only after several task durations. The arrival
 * rate shows it immediately, so that VMs can be added before the queue is long, and shows its end, so
 * that they can go to the next pool. The work per submission is averaged over many submissions, since
 * a few large ones would otherwise look like a burst.
 */
export class ArrivalMeter {
  #arrivalTimes: number[] = [];
  #submissionCount = 0;
  #meanCpuWork = 0;
  #meanMemoryWork = 0;
  #peakPerMs = 0;

  /** Records the work of one submission. */
  record({ at, cpuWork, memoryWork }: Arrival): void {
    this.#arrivalTimes.push(at);
    this.#submissionCount += 1;
    const factor = Math.max(SMOOTHING_FACTOR, 1 / this.#submissionCount);
    this.#meanCpuWork += factor * (cpuWork - this.#meanCpuWork);
    this.#meanMemoryWork += factor * (memoryWork - this.#meanMemoryWork);
    this.#forgetBefore(at - LONGEST_WINDOW_MS);
    this.#peakPerMs = Math.max(this.#peakPerMs, this.#arrivalTimes.length / LONGEST_WINDOW_MS);
  }

  /** Computes the load at the current arrival rate by Little's law: rate times mean work. */
  computeLoad(now: number): ArrivalLoad {
    this.#forgetBefore(now - LONGEST_WINDOW_MS);
    return this.#computeLoadAt(this.#computeRate(now));
  }

  /** Computes the load at the highest arrival rate that lasted for the longest window. */
  computePeak(): ArrivalLoad {
    return this.#computeLoadAt(this.#peakPerMs);
  }

  #computeLoadAt(arrivalsPerMs: number): ArrivalLoad {
    return {
      cpuMillis: arrivalsPerMs * this.#meanCpuWork,
      memoryMb: arrivalsPerMs * this.#meanMemoryWork,
    };
  }

  /** Computes the rate of the longest window whose count the shorter ones do not contradict. */
  #computeRate(now: number): number {
    if (this.#arrivalTimes.length < MINIMUM_ARRIVALS) return 0;
    let arrivalsPerMs = 0;
    for (const lengthMs of WINDOWS_MS) {
      const count = this.#arrivalTimes.filter((at) => at > now - lengthMs).length;
      const expected = arrivalsPerMs * lengthMs;
      const hasRisen =
        count >= MINIMUM_ARRIVALS && count - SIGNIFICANT_RISE * Math.sqrt(count) > expected;
      const hasFallen =
        lengthMs >= FALL_WINDOW_MS && count + SIGNIFICANT_FALL * Math.sqrt(count + 1) < expected;
      if (lengthMs === LONGEST_WINDOW_MS || hasRisen || hasFallen) arrivalsPerMs = count / lengthMs;
    }
    return arrivalsPerMs;
  }

  #forgetBefore(time: number): void {
    this.#arrivalTimes = this.#arrivalTimes.filter((at) => at > time);
  }
}
