/** Milliseconds over which arrivals are counted. */
const WINDOW_MS = 1_000;
/** Arrivals in the window below which they are taken for chance. */
const MINIMUM_ARRIVALS = 4;

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
    this.#arrivals = this.#arrivals.filter(({ at }) => at > now - WINDOW_MS);
    if (this.#arrivals.length < MINIMUM_ARRIVALS) return { cpuMillis: 0, memoryMb: 0 };
    let cpuWork = 0;
    let memoryWork = 0;
    for (const arrival of this.#arrivals) {
      cpuWork += arrival.cpuWork;
      memoryWork += arrival.memoryWork;
    }
    return { cpuMillis: cpuWork / WINDOW_MS, memoryMb: memoryWork / WINDOW_MS };
  }
}
