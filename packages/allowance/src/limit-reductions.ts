import type { ExcessUsage, PermitLedger } from './ledger.ts';

/** Configuration progress and excess usage of a member, as last reported. */
export interface MemberState {
  /** Sequence of the configuration in force at the member. */
  readonly sequence: number;
  /** Whether the permits of all lost incarnations have been reclaimed under the member's view. */
  readonly isReclaimComplete: boolean;
  readonly excessUsage: readonly ExcessUsage[];
}

/**
 * Finishes each limit reduction that all members have completed. After a limit is lowered, no work
 * starts against it until every member has applied the change and no member runs more than its
 * permits allow. Otherwise new starts here could exceed the limit while earlier work still runs at
 * other entries.
 */
export function finishLimitReductions(
  ledger: PermitLedger,
  own: MemberState,
  others: readonly (MemberState | undefined)[],
): void {
  const reductions = ledger.listLimitReductions();
  if (reductions.size === 0) return;
  const members = [own, ...others];
  for (const [resource, sequence] of [...reductions]) {
    const isApplied = members.every(
      (member) =>
        member !== undefined &&
        member.isReclaimComplete &&
        member.sequence >= sequence &&
        !member.excessUsage.some((usage) => usage.resource === resource),
    );
    if (isApplied) ledger.finishLimitReduction(resource);
  }
}
