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

/** A VM as listed by the VM service. */
export interface ListedVm {
  readonly vm: Vm;
  /** Whether the list names the targets of VMs, so that a VM without one is switched off. */
  readonly hasTargetIds: boolean;
}

/**
 * Finds out whether runs are active on a VM. A VM is empty only if that is known: its targets have
 * reported in this term, or every lease that was granted on them has expired.
 */
export function findOccupancy(context: OwnerContext, listed: ListedVm): VmOccupancy {
  const { clock, fleet, reconciliation } = context;
  const targets = fleet.listOnVm(listed.vm.name);
  if (targets.some(({ assignmentCount }) => assignmentCount > 0)) return VmOccupancy.Occupied;
  const hasLeaseOfEarlierTerm = clock.now < reconciliation.deadline;
  if (hasLeaseOfEarlierTerm && !hasKnownTargets(listed, targets)) return VmOccupancy.Unknown;
  const areRunsKnown = targets.every(
    (target) =>
      target.areRunsKnown || (!hasLeaseOfEarlierTerm && clock.now > target.leasesExpireAt),
  );
  return areRunsKnown ? VmOccupancy.Empty : VmOccupancy.Unknown;
}

/** Whether the target that the VM list names, or any if it names none, is known or there is none. */
function hasKnownTargets(listed: ListedVm, targets: readonly TargetRecord[]): boolean {
  const { targetId } = listed.vm;
  if (targetId === undefined) return listed.hasTargetIds || targets.length > 0;
  return targets.some(({ id }) => id === targetId);
}
