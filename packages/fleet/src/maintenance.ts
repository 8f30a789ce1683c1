/** A VM that is due for maintenance. */
export interface DueVm {
  readonly name: string;
  /** It is switched off in a spare pool. */
  readonly isOff: boolean;
  readonly persistentTasks: number;
  readonly otherTasks: number;
  /** Its pool has more work than room. */
  readonly isPoolBusy: boolean;
}

/** Cost of each persistent task that has to go elsewhere, in tasks that can end. */
const PERSISTENT_COST = 20;
/** Cost of taking a VM from a pool that has no room to spare. */
const BUSY_COST = 100;
/** Share of a wave's time after which busy pools are no longer spared. */
const SPARING_SHARE = 0.55;

/** Sorts VMs by what their maintenance costs callers, and leaves out those better done later. */
export function sortDueVms(due: readonly DueVm[], elapsedShare: number): DueVm[] {
  const mustHurry = elapsedShare >= SPARING_SHARE;
  return due
    .filter((vm) => mustHurry || !vm.isPoolBusy || vm.isOff)
    .sort((left, right) => computeCost(left) - computeCost(right));
}

function computeCost(vm: DueVm): number {
  if (vm.isOff) return 0;
  const busy = vm.isPoolBusy ? BUSY_COST : 0;
  return 1 + busy + vm.persistentTasks * PERSISTENT_COST + vm.otherTasks;
}
