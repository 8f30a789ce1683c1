import { computeMaxMinAllocation } from '@currantgap/sharing';
import type { ServiceName } from '@currantgap/model';

/** Demand of a pool, in VMs of its usual size. */
export interface PoolDemand {
  readonly service: ServiceName;
  /** VMs that must stay in the pool for its persistent tasks. */
  readonly persistentVms: number;
  /** VMs that running, waiting and expected work fills; may be fractional. */
  readonly demandVms: number;
  /** VMs that are to stand ready for a rise, those in use included; none if undefined. */
  readonly standingVms?: number;
}

/** VMs that an idle pool keeps, so that new work starts at once on either of them. */
const MINIMUM_POOL_VMS = 2;
/** VMs beyond the current demand of a busy pool, so that the next arrivals find free capacity. */
const HEADROOM_VMS = 1;
/** Demand of a pool above which it gets headroom, in VMs. */
const HEADROOM_THRESHOLD_VMS = 0.5;

/**
 * Decides how many of `totalVms` each pool should have. VMs beyond these are to be switched off. The
 * sizes add up to more than `totalVms` if the minimum sizes of the pools do. Room for a rise that may
 * come is given only after the demand that is there.
 */
export function decidePoolSizes(
  pools: readonly PoolDemand[],
  totalVms: number,
): Map<ServiceName, number> {
  const sizes = new Map<ServiceName, number>();
  for (const { service, persistentVms } of pools) {
    sizes.set(service, Math.max(MINIMUM_POOL_VMS, persistentVms));
  }
  assignVms(sizes, totalVms, pools, (pool) => {
    const headroom = pool.demandVms > HEADROOM_THRESHOLD_VMS ? HEADROOM_VMS : 0;
    return Math.ceil(pool.demandVms) + headroom;
  });
  assignVms(sizes, totalVms, pools, ({ standingVms = 0 }) => Math.ceil(standingVms));
  return sizes;
}

/** Raises the sizes of the pools towards what each claims, in equal steps while VMs are left. */
function assignVms(
  sizes: Map<ServiceName, number>,
  totalVms: number,
  pools: readonly PoolDemand[],
  getClaim: (pool: PoolDemand) => number,
): void {
  const allocated = [...sizes.values()].reduce((sum, size) => sum + size, 0);
  const claims = pools.map((pool) => ({
    name: pool.service,
    weight: 1,
    demand: Math.max(0, getClaim(pool) - (sizes.get(pool.service) ?? 0)),
  }));
  const allocation = computeMaxMinAllocation(Math.max(0, totalVms - allocated), claims);
  for (const { service } of pools) {
    const added = Math.floor(allocation.get(service) ?? 0);
    sizes.set(service, (sizes.get(service) ?? 0) + added);
  }
}
