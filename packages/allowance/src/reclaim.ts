import type { Incarnation } from '@currantgap/model';
import type { PermitRecord, PermitTransfer, ResourceName } from './permit.ts';

/** Input of `findUnownedPermits`: the reports of all members under the same view. */
export interface ReclaimInput {
  /** Incarnations of the view; all of them have reported. */
  readonly members: ReadonlySet<Incarnation>;
  /** Permit records of all members. */
  readonly records: readonly PermitRecord[];
  /** Limits in force. */
  readonly limits: ReadonlyMap<ResourceName, number>;
}

/**
 * Finds the permits below the limits that no member owns and returns them as transfers to the
 * reclaiming member. The latest record of a permit names its owner. If the owner is not a member,
 * the permit can no longer be used, because members accept transfers only from members of the view.
 */
export function findUnownedPermits(input: ReclaimInput): PermitTransfer[] {
  const latest = collectLatestRecords(input.records);
  const unowned: PermitTransfer[] = [];
  for (const [resource, limit] of input.limits) {
    const known = latest.get(resource);
    for (let index = 0; index < limit; index += 1) {
      const record = known?.get(index);
      if (record !== undefined && input.members.has(record.owner)) continue;
      unowned.push({ resource, index, version: (record?.version ?? 0) + 1 });
    }
  }
  return unowned;
}

function collectLatestRecords(
  records: readonly PermitRecord[],
): Map<ResourceName, Map<number, PermitRecord>> {
  const latest = new Map<ResourceName, Map<number, PermitRecord>>();
  for (const record of records) {
    const known = latest.get(record.resource) ?? new Map<number, PermitRecord>();
    const present = known.get(record.index);
    if (present === undefined || present.version < record.version) known.set(record.index, record);
    latest.set(record.resource, known);
  }
  return latest;
}
