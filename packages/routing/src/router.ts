import type { Instant, VmName } from '@currantgap/model';
import { MAXIMUM_EJECTED_FRACTION } from './defaults.ts';
import { HealthStatus, TargetHealth } from './health.ts';

/** A target that a request may be sent to, with its current load. */
export interface Candidate {
  readonly vm: VmName;
  readonly dataCentre: string;
  /** Slot permits that this entry holds for the target. */
  readonly held: number;
  /** Requests in flight to the target from this entry. */
  readonly inFlight: number;
}

/**
 * Chooses targets for the requests of one service. Prefers the target with the lowest fraction of
 * its permits in use, and at about equal load a target in the entry's data centre. Failing targets
 * are ejected, up to a fraction of the pool, and later probed with one request at a time.
 */
export class Router {
  readonly #ownDataCentre: string;
  readonly #health = new Map<VmName, TargetHealth>();

  constructor(ownDataCentre: string) {
    this.#ownDataCentre = ownDataCentre;
  }

  /**
   * Chooses a target, if possible another than `avoid`. Returns undefined when each candidate is
   * ejected, is already being probed or has all usable permits in use.
   */
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

  /** Records the outcome of a request to a target, which may eject the target. */
  recordOutcome(vm: VmName, hasSucceeded: boolean, now: Instant, poolSize: number): void {
    const health = this.#getOrCreateHealth(vm);
    if (hasSucceeded) {
      health.recordSuccess(now);
      return;
    }
    health.recordFailure(now);
    if (health.shouldEject() && this.#canEject(now, poolSize)) health.eject(now);
  }

  /** Begins slow start for a target that returned to service. */
  beginSlowStart(vm: VmName, now: Instant): void {
    this.#getOrCreateHealth(vm).beginSlowStart(now);
  }

  /** Gets the health status of a target. A target without requests so far is healthy. */
  getStatus(vm: VmName, now: Instant): HealthStatus {
    return this.#health.get(vm)?.getStatus(now) ?? HealthStatus.Healthy;
  }

  #computeLoad(candidate: Candidate, now: Instant, avoid: VmName | undefined): number {
    const health = this.#getOrCreateHealth(candidate.vm);
    const status = health.getStatus(now);
    if (status === HealthStatus.Ejected) return Infinity;
    if (status === HealthStatus.Probing && candidate.inFlight > 0) return Infinity;
    const usable = health.computeUsableSlots(candidate.held, now);
    if (candidate.held === 0 || candidate.inFlight >= usable) return Infinity;
    const remotePenalty = candidate.dataCentre === this.#ownDataCentre ? 0 : REMOTE_PENALTY;
    const avoidPenalty = candidate.vm === avoid ? 1 : 0;
    return (candidate.inFlight + 1) / usable + remotePenalty + avoidPenalty;
  }

  #canEject(now: Instant, poolSize: number): boolean {
    let ejectedCount = 1;
    for (const health of this.#health.values()) {
      if (health.getStatus(now) !== HealthStatus.Healthy) ejectedCount += 1;
    }
    return ejectedCount <= poolSize * MAXIMUM_EJECTED_FRACTION;
  }

  #getOrCreateHealth(vm: VmName): TargetHealth {
    const existing = this.#health.get(vm);
    if (existing !== undefined) return existing;
    const created = new TargetHealth();
    this.#health.set(vm, created);
    return created;
  }
}

/**
 * Added to the load of a target in another data centre, as a fraction of its permits: such a target
 * is preferred only when its load is lower by more than this.
 */
const REMOTE_PENALTY = 0.05;
