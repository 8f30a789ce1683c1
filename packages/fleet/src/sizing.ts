import { computeMaxMinAllocation } from '@currantgap/sharing';
import type { ServiceName } from '@currantgap/model';

/** What a pool needs, counted in VMs of its usual size. */
export interface PoolDemand {
  readonly service: ServiceName;
  /** VMs that host persistent tasks and so stay. */
  readonly persistentVms: number;
  /** VMs that running and waiting work would fill. */
  readonly demandVms: number;
}

/** VMs that a pool keeps when it has nothing to do: work that comes starts at once, on either. */
const IDLE_VMS = 2;
/** VMs beyond present demand in a pool that has some: the next arrivals find room. */
const HEADROOM_VMS = 1;
/** Share of a VM that must be used before headroom counts. */
const BUSY_SHARE = 0.5;

/** Decides how many of `totalVms` each pool should have; what is left over is switched off. */
export function decideSizes(
  pools: readonly PoolDemand[],
  totalVms: number,
): Map<ServiceName, number> {
  const sizes = new Map<ServiceName, number>();
  const floors = pools.map((pool) => Math.max(IDLE_VMS, pool.persistentVms));
  const left = Math.max(0, totalVms - floors.reduce((sum, floor) => sum + floor, 0));
  const claims = pools.map((pool, index) => {
    const headroom = pool.demandVms > BUSY_SHARE ? HEADROOM_VMS : 0;
    const demand = Math.max(0, Math.ceil(pool.demandVms) + headroom - (floors[index] ?? 0));
    return { name: pool.service, weight: 1, demand };
  });
  const division = computeMaxMinAllocation(left, claims);
  for (const [index, pool] of pools.entries()) {
    sizes.set(pool.service, (floors[index] ?? 0) + Math.floor(division.get(pool.service) ?? 0));
  }
  return sizes;
}
