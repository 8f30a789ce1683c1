import { computeMaxMinAllocation } from '@currantgap/sharing';
import type { ServiceName } from '@currantgap/model';

/** Demand of a pool, in VMs of its usual size. */
export interface PoolDemand {
  readonly service: ServiceName;
  /** VMs that must stay in the pool for its persistent tasks. */
  readonly persistentVms: number;
  /** VMs that running, waiting and expected work fills; may be fractional. */
  readonly demandVms: number;
  /** VMs that the pool has and should not give back yet, in all; 0 if none. */
  readonly keptVms?: number;
}

/** VMs that an idle pool keeps, so that new work starts at once on either of them. */
const MINIMUM_POOL_VMS = 2;
/** VMs beyond the current demand of a busy pool, so that the next arrivals find free capacity. */
const HEADROOM_VMS = 1;
/** Demand of a pool above which it gets headroom, in VMs. */
const HEADROOM_THRESHOLD_VMS = 0.5;

/**
 * Decides how many of `totalVms` each pool should have. What there is goes to persistent tasks first,
 * then to current demand, and last to pools that keep VMs for a while. VMs beyond these are to be
 * switched off. The sizes add up to more than `totalVms` if the minimum sizes of the pools do.
 */
export function decidePoolSizes(
  pools: readonly PoolDemand[],
  totalVms: number,
): Map<ServiceName, number> {
  const sizes = new Map(
    pools.map(({ service, persistentVms }) => [service, Math.max(MINIMUM_POOL_VMS, persistentVms)]),
  );
  addClaims(sizes, totalVms, pools, computeNeededVms);
  addClaims(sizes, totalVms, pools, ({ keptVms = 0 }) => keptVms);
  return sizes;
}

/** Computes the VMs that a pool needs now, with headroom. */
export function computeNeededVms({ demandVms }: Pick<PoolDemand, 'demandVms'>): number {
  return Math.ceil(demandVms) + (demandVms > HEADROOM_THRESHOLD_VMS ? HEADROOM_VMS : 0);
}

/** Adds what each pool wants beyond its size; if there is too little for all, by max-min fairness. */
function addClaims(
  sizes: Map<ServiceName, number>,
  totalVms: number,
  pools: readonly PoolDemand[],
  getWantedVms: (pool: PoolDemand) => number,
): void {
  const usedVms = [...sizes.values()].reduce((sum, size) => sum + size, 0);
  const claims = pools.map((pool) => {
    const demand = Math.max(0, getWantedVms(pool) - (sizes.get(pool.service) ?? 0));
    return { name: pool.service, weight: 1, demand };
  });
  const allocation = computeMaxMinAllocation(Math.max(0, totalVms - usedVms), claims);
  for (const [service, vms] of allocation) {
    sizes.set(service, (sizes.get(service) ?? 0) + Math.floor(vms));
  }
}
