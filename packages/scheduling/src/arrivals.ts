/** A stretch over which arrivals are counted, and how many must lie in it to be no chance. */
interface Window {
  readonly lengthMs: number;
  readonly minimumArrivals: number;
}

/** The short window sees a rise at once, the long one does not take a lull for the end. */
const WINDOWS: readonly Window[] = [
  { lengthMs: 400, minimumArrivals: 3 },
  { lengthMs: 1_000, minimumArrivals: 4 },
];
const LONGEST_MS = 1_000;

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
 * Load pattern: a queue that is quiet begins to ask several times its mean. What runs and waits
 * shows the rise only after some task times; the rate of arrivals shows it at once, so that VMs
 * can be fetched before the queue is long.
 */
export class ArrivalMeter {
  #arrivals: Arrival[] = [];

  /** Records the work of one submission. */
  record(arrival: Arrival): void {
    this.#arrivals.push(arrival);
  }

  /** Computes the load that arrivals at the present rate amount to, by Little's law. */
  computeLoad(now: number): ArrivalLoad {
    this.#arrivals = this.#arrivals.filter(({ at }) => at > now - LONGEST_MS);
    let cpuMillis = 0;
    let memoryMb = 0;
    for (const { lengthMs, minimumArrivals } of WINDOWS) {
      const recent = this.#arrivals.filter(({ at }) => at > now - lengthMs);
      if (recent.length < minimumArrivals) continue;
      const cpuWork = recent.reduce((sum, arrival) => sum + arrival.cpuWork, 0);
      const memoryWork = recent.reduce((sum, arrival) => sum + arrival.memoryWork, 0);
      cpuMillis = Math.max(cpuMillis, cpuWork / lengthMs);
      memoryMb = Math.max(memoryMb, memoryWork / lengthMs);
    }
    return { cpuMillis, memoryMb };
  }
}
