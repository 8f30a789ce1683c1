/** A stretch over which arrivals are counted, and how many must lie in it to be no chance. */
interface Window {
  readonly lengthMs: number;
  readonly minimumArrivals: number;
}

/** The short window sees a rise at once, the long one does not take a lull for the end. */
const WINDOWS: readonly Window[] = [
  { lengthMs: 400, minimumArrivals: 3 },
  { lengthMs: 1_000, minimumArrivals: 4 },
  { lengthMs: 2_000, minimumArrivals: 6 },
];
const LONGEST_MS = 2_000;
/** Share of a new submission in the learned work of one; the first ones count alike. */
const SMOOTHING = 0.1;

/** Work that arrived. */
interface Arrival {
  readonly at: number;
  /** Core-milliseconds, thousandths of a core times milliseconds. */
  readonly cpuWork: number;
  /** Megabyte-milliseconds. */
  readonly memoryWork: number;
}

/** How much of a pool the present rate of arrivals will fill once it has gone on for a while. */
export interface ArrivalLoad {
  readonly cpuMillis: number;
  readonly memoryMb: number;
}

/**
 * Load pattern: a queue that is quiet begins to ask several times its mean, in submissions of
 * very unlike sizes. What runs and waits shows the rise only after some task times; the rate of
 * arrivals shows it at once, so that VMs can be fetched before the queue is long. The rate is
 * that of the moment; the work of one submission is learned over many, since a few large ones
 * would else look like a burst of their own.
 */
export class ArrivalMeter {
  #times: number[] = [];
  #count = 0;
  #meanCpuWork = 0;
  #meanMemoryWork = 0;

  /** Records the work of one submission. */
  record({ at, cpuWork, memoryWork }: Arrival): void {
    this.#times.push(at);
    this.#count += 1;
    const share = Math.max(SMOOTHING, 1 / this.#count);
    this.#meanCpuWork += share * (cpuWork - this.#meanCpuWork);
    this.#meanMemoryWork += share * (memoryWork - this.#meanMemoryWork);
  }

  /** Computes the load that arrivals at the present rate amount to, by Little's law. */
  computeLoad(now: number): ArrivalLoad {
    this.#times = this.#times.filter((at) => at > now - LONGEST_MS);
    let perMs = 0;
    for (const { lengthMs, minimumArrivals } of WINDOWS) {
      const count = this.#times.filter((at) => at > now - lengthMs).length;
      if (count < minimumArrivals) continue;
      perMs = Math.max(perMs, count / lengthMs);
    }
    return { cpuMillis: perMs * this.#meanCpuWork, memoryMb: perMs * this.#meanMemoryWork };
  }
}
