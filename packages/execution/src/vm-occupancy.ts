import type { Vm } from '@currantgap/model';
import type { OwnerContext } from './context.ts';
import type { TargetRecord } from './target-record.ts';

/** What the owner knows about the runs on a VM. */
export enum VmOccupancy {
  /** A run of an earlier term may be active there. */
  Unknown = 'unknown',
  /** Runs are assigned to the VM. */
  Occupied = 'occupied',
  /** No run is active there, and none can begin. */
  Empty = 'empty',
}

/**
 * Finds out whether runs are active on a VM. A VM is empty only if that is known: its targets have
 * reported in this term, or every lease that was granted on them has expired.
 */
export function findOccupancy(context: OwnerContext, vm: Vm): VmOccupancy {
  const { clock, fleet, reconciliation } = context;
  const targets = fleet.listOnVm(vm.name);
  if (targets.some(({ assignmentCount }) => assignmentCount > 0)) return VmOccupancy.Occupied;
  const hasLeaseOfEarlierTerm = clock.now < reconciliation.deadline;
  if (hasLeaseOfEarlierTerm && !hasListedTarget(vm, targets)) return VmOccupancy.Unknown;
  const areRunsKnown = targets.every(
    (target) =>
      target.areRunsKnown || (!hasLeaseOfEarlierTerm && clock.now > target.leasesExpireAt),
  );
  return areRunsKnown ? VmOccupancy.Empty : VmOccupancy.Unknown;
}

/** Whether the target that the VM list names is known; if it names none, whether any target is. */
function hasListedTarget({ targetId }: Vm, targets: readonly TargetRecord[]): boolean {
  if (targetId === undefined || targetId === '') return targets.length > 0;
  return targets.some(({ id }) => id === targetId);
}
