import type { Resources, Step } from '@currantgap/model';

/** A mutable total of resources. */
export class ResourceSum implements Resources {
  cpuMillis = 0;
  memoryMb = 0;
  gpus = 0;

  /** Adds an amount, `factor` times. */
  add(amount: Resources, factor = 1): void {
    this.cpuMillis += amount.cpuMillis * factor;
    this.memoryMb += amount.memoryMb * factor;
    this.gpus += amount.gpus * factor;
  }

  remove(amount: Resources): void {
    this.cpuMillis -= amount.cpuMillis;
    this.memoryMb -= amount.memoryMb;
    this.gpus -= amount.gpus;
  }
}

/**
 * Returns the resources that a task of a step reserves on a target. A filler reserves no CPU, since
 * it uses only what other tasks leave.
 */
export function getFootprint(step: Step): Resources {
  return step.isFiller ? { ...step.request, cpuMillis: 0 } : step.request;
}

/** Whether a request fits into the capacity in addition to what is used. */
export function hasRoom(capacity: Resources, used: Resources, request: Resources): boolean {
  return (
    used.cpuMillis + request.cpuMillis <= capacity.cpuMillis &&
    used.memoryMb + request.memoryMb <= capacity.memoryMb &&
    used.gpus + request.gpus <= capacity.gpus
  );
}

/** Computes the utilisation of the most utilised resource, 0 to 1. */
export function computeUtilisation(capacity: Resources, used: Resources): number {
  return Math.max(
    computeRatio(used.cpuMillis, capacity.cpuMillis),
    computeRatio(used.memoryMb, capacity.memoryMb),
    computeRatio(used.gpus, capacity.gpus),
  );
}

/** Whether a team stays within its cap with one more request; a cap of 0 means no limit. */
export function isWithinCap(cap: Resources, running: Resources, request: Resources): boolean {
  return (
    isWithinLimit(cap.cpuMillis, running.cpuMillis + request.cpuMillis) &&
    isWithinLimit(cap.memoryMb, running.memoryMb + request.memoryMb) &&
    isWithinLimit(cap.gpus, running.gpus + request.gpus)
  );
}

function isWithinLimit(limit: number, amount: number): boolean {
  return limit <= 0 || amount <= limit;
}

function computeRatio(used: number, capacity: number): number {
  return capacity > 0 ? used / capacity : 0;
}
