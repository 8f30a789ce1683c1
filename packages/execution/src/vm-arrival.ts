import type { Vm } from '@currantgap/model';
import type { TargetRecord } from './target-record.ts';
import type { VmOperation } from './vm-orders.ts';

/** Lists the targets that an order to a VM ends: those known there, and the one that the list names. */
export function listEndingTargets(
  { targetId }: Vm,
  targets: readonly TargetRecord[],
): ReadonlyMap<string, number | undefined> {
  const ending = new Map<string, number | undefined>();
  if (targetId !== undefined) ending.set(targetId, undefined);
  for (const { id, entry } of targets) ending.set(id, entry.bornAt);
  return ending;
}

/** Whether a target that followed an unanswered order to move reports from the VM's new pool. */
export function hasArrived(
  { plan, isUncertain, orderedAt, endingTargets }: VmOperation,
  targets: readonly TargetRecord[],
): boolean {
  if (!isUncertain || plan.kind !== 'move') return false;
  return targets.some(
    ({ id, entry, isRegistered, reportedAt = -Infinity }) =>
      isRegistered &&
      entry.service === plan.pool &&
      reportedAt > orderedAt &&
      (!endingTargets.has(id) || (endingTargets.get(id) ?? entry.bornAt) !== entry.bornAt),
  );
}
