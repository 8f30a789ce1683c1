import type { Incarnation } from '@currantgap/model';
import type { PermitRecord, PermitTransfer, ResourceName } from './permit.ts';

/** Input of a settlement: what every member of one view reported under that view. */
export interface SettlementInput {
  /** Incarnations of the view; each has reported. */
  readonly members: ReadonlySet<Incarnation>;
  /** Records of all members. */
  readonly records: readonly PermitRecord[];
  /** Limits in force. */
  readonly limits: ReadonlyMap<ResourceName, number>;
}

/**
 * Finds the permits that no member owns, as transfers to whoever settles. The newest record of a
 * permit names its owner; when that is no member, nobody can use the permit any more, since no
 * member accepts transfers from outside the view.
 */
export function findUnowned(input: SettlementInput): PermitTransfer[] {
  const newest = collectNewest(input.records);
  const unowned: PermitTransfer[] = [];
  for (const [resource, limit] of input.limits) {
    const known = newest.get(resource);
    for (let index = 0; index < limit; index += 1) {
      const record = known?.get(index);
      if (record !== undefined && input.members.has(record.owner)) continue;
      unowned.push({ resource, index, version: (record?.version ?? 0) + 1 });
    }
  }
  return unowned;
}

function collectNewest(
  records: readonly PermitRecord[],
): Map<ResourceName, Map<number, PermitRecord>> {
  const newest = new Map<ResourceName, Map<number, PermitRecord>>();
  for (const record of records) {
    const known = newest.get(record.resource) ?? new Map<number, PermitRecord>();
    const present = known.get(record.index);
    if (present === undefined || present.version < record.version) known.set(record.index, record);
    newest.set(record.resource, known);
  }
  return newest;
}
