import { ArrivalMeter, type ArrivalLoad } from '@currantgap/scheduling';

/** Time constant with which the height follows a higher load, in milliseconds. */
const HEIGHT_RISE_MS = 4_000;
/** Time after which a height that was not reached again counts half, in milliseconds. */
const HEIGHT_HALF_LIFE_MS = 120_000;
/** Factor by which a load that is still rising is expected to grow, up to the height of demand. */
const RISE_FACTOR = 2;
/** Ratio of the current load to the mean one above which the load counts as rising. */
const RISING_RATIO = 1.15;

/** Work of a submission. */
type Arrival = Parameters<ArrivalMeter['record']>[0];

/** What one pool is asked for: the current load and the height to which it has risen before. */
export class DemandHistory {
  readonly #meter = new ArrivalMeter();
  #height: ArrivalLoad = { cpuMillis: 0, memoryMb: 0 };
  #heightAt = 0;

  /** Records a submission. */
  record(arrival: Arrival): void {
    this.#meter.record(arrival);
  }

  /** Updates the height with the current load; called periodically. */
  observe(now: number): void {
    const { cpuMillis, memoryMb } = this.#meter.computeMeanLoad(now);
    const height = this.computeHeight(now);
    const share = 1 - Math.exp(-(now - this.#heightAt) / HEIGHT_RISE_MS);
    this.#heightAt = now;
    this.#height = {
      cpuMillis: height.cpuMillis + share * Math.max(0, cpuMillis - height.cpuMillis),
      memoryMb: height.memoryMb + share * Math.max(0, memoryMb - height.memoryMb),
    };
  }

  /**
   * Computes the load that was exceeded for some seconds; a short burst counts in part. It fades
   * while it is not reached again.
   */
  computeHeight(now: number): ArrivalLoad {
    const share = 0.5 ** ((now - this.#heightAt) / HEIGHT_HALF_LIFE_MS);
    const { cpuMillis, memoryMb } = this.#height;
    return { cpuMillis: cpuMillis * share, memoryMb: memoryMb * share };
  }

  /**
   * Computes the load for which VMs are needed now. While arrivals rise, it is ahead of them as far as
   * the height allows: the one seen before, or `given`, the load for which operators sized the pool.
   */
  computeExpectedLoad(now: number, given: ArrivalLoad): ArrivalLoad {
    const load = this.#meter.computeLoad(now);
    const mean = this.#meter.computeMeanLoad(now);
    if (load.cpuMillis <= RISING_RATIO * mean.cpuMillis) return load;
    const height = this.computeHeight(now);
    return {
      cpuMillis: computeRise(load.cpuMillis, Math.max(given.cpuMillis, height.cpuMillis)),
      memoryMb: computeRise(load.memoryMb, Math.max(given.memoryMb, height.memoryMb)),
    };
  }
}

function computeRise(load: number, height: number): number {
  return Math.max(load, Math.min(RISE_FACTOR * load, height));
}
