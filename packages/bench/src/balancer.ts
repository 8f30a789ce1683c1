import type { Fleet } from '@currantgap/standins';

const CHECK_PERIOD_MS = 200;

/** Chooses round robin among entries whose health check passes, like the platform's balancer. */
export class Balancer {
  readonly #fleet: Fleet;
  #healthy: number[] = [];
  #next = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(fleet: Fleet) {
    this.#fleet = fleet;
    this.#healthy = [...fleet.entries.keys()];
  }

  /** Starts periodic health checks of the entries. */
  start(): void {
    this.#timer = setInterval(() => void this.#check(), CHECK_PERIOD_MS);
  }

  /** Stops the health checks. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Chooses the caller port of the next healthy entry. */
  choosePort(): number {
    this.#next += 1;
    const index = this.#healthy[this.#next % Math.max(1, this.#healthy.length)] ?? 0;
    return this.#fleet.getEntry(index).callerPort;
  }

  async #check(): Promise<void> {
    const checks = this.#fleet.entries.map(async (entry, index) => {
      const text = await entry.getText('/readyz').catch(() => '');
      return text === 'ok' ? [index] : [];
    });
    const healthy = (await Promise.all(checks)).flat();
    if (healthy.length > 0) this.#healthy = healthy;
  }
}
