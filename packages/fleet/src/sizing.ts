import { computeMaxMinAllocation } from '@currantgap/sharing';
import type { ServiceName } from '@currantgap/model';

/** Demand of a pool, in VMs of its usual size. */
export interface PoolDemand {
  readonly service: ServiceName;
  /** VMs that must stay in the pool for its persistent tasks. */
  readonly persistentVms: number;
  /** VMs that running, waiting and expected work fills; may be fractional. */
  readonly demandVms: number;
}

/** VMs that an idle pool keeps, so that new work starts at once on either of them. */
const MINIMUM_POOL_VMS = 2;
/** VMs beyond the current demand of a busy pool, so that the next arrivals find free capacity. */
const HEADROOM_VMS = 1;
/** Demand of a pool above which it gets headroom, in VMs. */
const HEADROOM_THRESHOLD_VMS = 0.5;

/**
 * Decides how many of `totalVms` each pool should have. VMs beyond these are to be switched off. The
 * sizes add up to more than `totalVms` if the minimum sizes of the pools do.
 */
export function decidePoolSizes(
  pools: readonly PoolDemand[],
  totalVms: number,
): Map<ServiceName, number> {
  const sizes = new Map<ServiceName, number>();
  const floors = pools.map((pool) => Math.max(MINIMUM_POOL_VMS, pool.persistentVms));
  const remainingVms = Math.max(0, totalVms - floors.reduce((sum, floor) => sum + floor, 0));
  const claims = pools.map((pool, index) => {
    const headroom = pool.demandVms > HEADROOM_THRESHOLD_VMS ? HEADROOM_VMS : 0;
    const demand = Math.max(0, Math.ceil(pool.demandVms) + headroom - (floors[index] ?? 0));
    return { name: pool.service, weight: 1, demand };
  });
  const allocation = computeMaxMinAllocation(remainingVms, claims);
  for (const [index, pool] of pools.entries()) {
    sizes.set(pool.service, (floors[index] ?? 0) + Math.floor(allocation.get(pool.service) ?? 0));
  }
  return sizes;
}
