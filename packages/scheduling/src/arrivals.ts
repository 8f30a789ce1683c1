/** A sliding window over which arrivals are counted. */
interface Window {
  readonly lengthMs: number;
  /** Fewest arrivals in the window that count as a rate; fewer may be chance. */
  readonly minimumArrivals: number;
}

/**
 * The shortest window detects a rise immediately; the longest does not mistake a lull for the end of
 * a burst.
 */
const WINDOWS: readonly Window[] = [
  { lengthMs: 400, minimumArrivals: 3 },
  { lengthMs: 1_000, minimumArrivals: 4 },
  { lengthMs: 2_000, minimumArrivals: 6 },
];
const LONGEST_WINDOW_MS = 2_000;
/**
 * Weight of a new submission in the moving average of the work per submission. The first submissions
 * are averaged with equal weights.
 */
const SMOOTHING_FACTOR = 0.1;

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
 * rate shows it immediately, so that VMs can be added before the queue is long. The rate is the
 * current one; the work per submission is averaged over many submissions, since a few large ones
 * would otherwise look like a burst.
 */
export class ArrivalMeter {
  #arrivalTimes: number[] = [];
  #submissionCount = 0;
  #meanCpuWork = 0;
  #meanMemoryWork = 0;

  /** Records the work of one submission. */
  record({ at, cpuWork, memoryWork }: Arrival): void {
    this.#arrivalTimes.push(at);
    this.#submissionCount += 1;
    const factor = Math.max(SMOOTHING_FACTOR, 1 / this.#submissionCount);
    this.#meanCpuWork += factor * (cpuWork - this.#meanCpuWork);
    this.#meanMemoryWork += factor * (memoryWork - this.#meanMemoryWork);
  }

  /** Computes the load at the current arrival rate by Little's law: rate times mean work. */
  computeLoad(now: number): ArrivalLoad {
    this.#arrivalTimes = this.#arrivalTimes.filter((at) => at > now - LONGEST_WINDOW_MS);
    let arrivalsPerMs = 0;
    for (const { lengthMs, minimumArrivals } of WINDOWS) {
      const count = this.#arrivalTimes.filter((at) => at > now - lengthMs).length;
      if (count < minimumArrivals) continue;
      arrivalsPerMs = Math.max(arrivalsPerMs, count / lengthMs);
    }
    return {
      cpuMillis: arrivalsPerMs * this.#meanCpuWork,
      memoryMb: arrivalsPerMs * this.#meanMemoryWork,
    };
  }
}
