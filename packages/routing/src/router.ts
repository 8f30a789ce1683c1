import type { Instant, VmName } from '@currantgap/model';
import { MAXIMUM_EJECTED_PART } from './defaults.ts';
import { HealthStatus, TargetHealth } from './health.ts';

/** A target as the router sees it at the moment of a choice. */
export interface Candidate {
  readonly vm: VmName;
  readonly dataCentre: string;
  /** Slot permits held for the target. */
  readonly held: number;
  /** Requests in flight to the target from this entry. */
  readonly inFlight: number;
}

/**
 * Chooses targets for one service: the one with the smallest part of its permits in use, in the
 * entry's own data centre first among equals. Failing targets are ejected, up to a part of the
 * pool, and probed one request at a time.
 */
export class Router {
  readonly #ownDataCentre: string;
  readonly #health = new Map<VmName, TargetHealth>();

  constructor(ownDataCentre: string) {
    this.#ownDataCentre = ownDataCentre;
  }

  /** Chooses a target, or none when every permit is in use or every target ejected. */
  choose(candidates: readonly Candidate[], now: Instant, avoid?: VmName): Candidate | undefined {
    let best: Candidate | undefined;
    let bestLoad = Infinity;
    for (const candidate of candidates) {
      const load = this.#computeLoad(candidate, now, avoid);
      if (load >= bestLoad) continue;
      best = candidate;
      bestLoad = load;
    }
    return best;
  }

  /** Records how a request to a target ended. */
  record(vm: VmName, hasSucceeded: boolean, now: Instant, poolSize: number): void {
    const health = this.#open(vm);
    if (hasSucceeded) {
      health.recordSuccess(now);
      return;
    }
    health.recordFailure(now);
    if (health.shouldEject() && this.#canEject(now, poolSize)) health.eject(now);
  }

  /** Begins slow start for a target that came back into service. */
  startSlowly(vm: VmName, now: Instant): void {
    this.#open(vm).startSlowly(now);
  }

  getStatus(vm: VmName, now: Instant): HealthStatus {
    return this.#health.get(vm)?.getStatus(now) ?? HealthStatus.Healthy;
  }

  #computeLoad(candidate: Candidate, now: Instant, avoid: VmName | undefined): number {
    const health = this.#open(candidate.vm);
    const status = health.getStatus(now);
    if (status === HealthStatus.Ejected) return Infinity;
    if (status === HealthStatus.Probing && candidate.inFlight > 0) return Infinity;
    const usable = health.computeUsableSlots(candidate.held, now);
    if (candidate.held === 0 || candidate.inFlight >= usable) return Infinity;
    const distance = candidate.dataCentre === this.#ownDataCentre ? 0 : NEAR_PREFERENCE;
    const avoidance = candidate.vm === avoid ? 1 : 0;
    return (candidate.inFlight + 1) / usable + distance + avoidance;
  }

  #canEject(now: Instant, poolSize: number): boolean {
    let ejected = 1;
    for (const health of this.#health.values()) {
      if (health.getStatus(now) !== HealthStatus.Healthy) ejected += 1;
    }
    return ejected <= poolSize * MAXIMUM_EJECTED_PART;
  }

  #open(vm: VmName): TargetHealth {
    const known = this.#health.get(vm);
    if (known !== undefined) return known;
    const created = new TargetHealth();
    this.#health.set(vm, created);
    return created;
  }
}

/** Load by which a target elsewhere must be lower than one in the entry's own data centre. */
const NEAR_PREFERENCE = 0.05;
