/** A VM that is due for maintenance. */
export interface DueVm {
  readonly name: string;
  /** Whether the VM is switched off in a spare pool. */
  readonly isOff: boolean;
  readonly persistentTasks: number;
  readonly otherTasks: number;
  /** Whether the pool of the VM has no capacity to spare. */
  readonly isPoolBusy: boolean;
}

/** Cost of moving a persistent task to another target; 1 is the cost of any other task. */
const PERSISTENT_TASK_COST = 20;
/** Cost of taking a VM from a pool that has no capacity to spare. */
const BUSY_POOL_COST = 100;
/** Share of a wave's duration after which VMs of busy pools are no longer deferred. */
const BUSY_POOL_DEFERRAL_SHARE = 0.55;

/**
 * Sorts the VMs that are due by the cost of their maintenance to callers, cheapest first. Leaves out
 * those whose maintenance is deferred. `elapsedShare` is the share of the wave's duration that has
 * passed.
 */
export function sortDueVms(due: readonly DueVm[], elapsedShare: number): DueVm[] {
  const shouldIncludeBusyPools = elapsedShare >= BUSY_POOL_DEFERRAL_SHARE;
  return due
    .filter((vm) => shouldIncludeBusyPools || !vm.isPoolBusy || vm.isOff)
    .sort((left, right) => computeCost(left) - computeCost(right));
}

function computeCost(vm: DueVm): number {
  if (vm.isOff) return 0;
  const poolCost = vm.isPoolBusy ? BUSY_POOL_COST : 0;
  return 1 + poolCost + vm.persistentTasks * PERSISTENT_TASK_COST + vm.otherTasks;
}
