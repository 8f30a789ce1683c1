import { VmState, type Resources, type Vm } from '@currantgap/model';
import { ResourceSum } from '@currantgap/scheduling';
import type { OwnerContext } from './context.ts';

/** More of each resource than any task requests. */
const UNLIMITED: Resources = {
  cpuMillis: Number.MAX_SAFE_INTEGER,
  memoryMb: Number.MAX_SAFE_INTEGER,
  gpus: Number.MAX_SAFE_INTEGER,
};

/** A VM and the pool that it belongs to, or is on its way to. */
export interface PlacedVm {
  readonly vm: Vm;
  readonly pool: string;
}

/** Capacity beyond that of a pool's registered targets. */
export interface PoolSupply {
  /** Capacity of VMs on the way, by pool. */
  readonly incoming: ReadonlyMap<string, Resources>;
  /** Capacity of VMs that are switched off. */
  readonly spare: Resources;
  /** Unused capacity of targets without persistent tasks, by pool. */
  readonly unused: ReadonlyMap<string, Resources>;
  /** Largest amount of each resource that a single VM has. */
  readonly largestTask: Resources;
}

/**
 * Computes which capacity the fleet could bring into its pools. While the VMs are not known (`vms` is
 * undefined), any task may fit on one of them.
 */
export function computePoolSupply(
  context: OwnerContext,
  vms: Iterable<PlacedVm> | undefined,
): PoolSupply {
  const { fleet, getOperatorView } = context;
  const services = getOperatorView().configuration?.services ?? [];
  const sparePools = new Set(services.filter(({ isSpare }) => isSpare).map(({ name }) => name));
  const incoming = new Map<string, ResourceSum>();
  const unused = new Map<string, ResourceSum>();
  const spare = new ResourceSum();
  const largestTask = new ResourceSum();
  for (const { vm, pool } of vms ?? []) {
    updateLargest(largestTask, vm.capacity);
    if (vm.state === VmState.Down) continue;
    if (sparePools.has(pool)) {
      spare.add(vm.capacity);
      continue;
    }
    const isRegistered = fleet
      .listOnVm(vm.name)
      .some((target) => target.isRegistered && target.entry.service === pool);
    if (!isRegistered) getSum(incoming, pool).add(vm.capacity);
  }
  for (const target of fleet.targets) {
    if (!target.isRegistered) continue;
    updateLargest(largestTask, target.capacity);
    if (sparePools.size === 0 || target.hasPersistent) continue;
    const sum = getSum(unused, target.entry.service);
    sum.add(target.capacity);
    sum.remove(target.used);
  }
  return { incoming, spare, unused, largestTask: vms === undefined ? UNLIMITED : largestTask };
}

/** Gets the total of a group, creating it if needed. */
export function getSum(sums: Map<string, ResourceSum>, name: string): ResourceSum {
  const known = sums.get(name);
  if (known !== undefined) return known;
  const created = new ResourceSum();
  sums.set(name, created);
  return created;
}

function updateLargest(largest: ResourceSum, amount: Resources): void {
  largest.cpuMillis = Math.max(largest.cpuMillis, amount.cpuMillis);
  largest.memoryMb = Math.max(largest.memoryMb, amount.memoryMb);
  largest.gpus = Math.max(largest.gpus, amount.gpus);
}
