import type { Resources, Step } from '@currantgap/model';

/** A mutable sum of resources. */
export class ResourceSum implements Resources {
  cpuMillis = 0;
  memoryMb = 0;
  gpus = 0;

  add(amount: Resources): void {
    this.cpuMillis += amount.cpuMillis;
    this.memoryMb += amount.memoryMb;
    this.gpus += amount.gpus;
  }

  remove(amount: Resources): void {
    this.cpuMillis -= amount.cpuMillis;
    this.memoryMb -= amount.memoryMb;
    this.gpus -= amount.gpus;
  }
}

/** What a task of a step takes from a target's capacity: a filler takes no processor. */
export function getFootprint(step: Step): Resources {
  return step.isFiller ? { ...step.request, cpuMillis: 0 } : step.request;
}

/** Tells whether a request fits beside what is used. */
export function hasRoom(capacity: Resources, used: Resources, request: Resources): boolean {
  return (
    used.cpuMillis + request.cpuMillis <= capacity.cpuMillis &&
    used.memoryMb + request.memoryMb <= capacity.memoryMb &&
    used.gpus + request.gpus <= capacity.gpus
  );
}

/** Computes the largest share of any resource that is used, 0 to 1. */
export function computeUtilisation(capacity: Resources, used: Resources): number {
  return Math.max(
    computeShare(used.cpuMillis, capacity.cpuMillis),
    computeShare(used.memoryMb, capacity.memoryMb),
    computeShare(used.gpus, capacity.gpus),
  );
}

/** Tells whether a team stays within its cap with one more request; 0 means no limit. */
export function isWithinCap(cap: Resources, running: Resources, request: Resources): boolean {
  return (
    isBelow(cap.cpuMillis, running.cpuMillis + request.cpuMillis) &&
    isBelow(cap.memoryMb, running.memoryMb + request.memoryMb) &&
    isBelow(cap.gpus, running.gpus + request.gpus)
  );
}

function isBelow(limit: number, amount: number): boolean {
  return limit <= 0 || amount <= limit;
}

function computeShare(amount: number, whole: number): number {
  return whole > 0 ? amount / whole : 0;
}
