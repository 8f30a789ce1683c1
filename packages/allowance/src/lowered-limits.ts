import type { Overhang, PermitLedger } from './ledger.ts';

/** What a member last reported about its configuration and its running work. */
export interface MemberState {
  /** Sequence of the configuration in force there. */
  readonly sequence: number;
  /** Whether its view has no permits left to settle. */
  readonly isSettled: boolean;
  readonly overhangs: readonly Overhang[];
}

/**
 * Settles lowered limits. After a limit was lowered nothing starts against it until every member
 * has the change in force and no member has more running than its permits, so that the new limit
 * is not passed by starts here while older work still runs elsewhere.
 */
export function settleLoweredLimits(
  ledger: PermitLedger,
  own: MemberState,
  others: readonly (MemberState | undefined)[],
): void {
  const lowered = ledger.listLowered();
  if (lowered.size === 0) return;
  const members = [own, ...others];
  for (const [resource, sequence] of [...lowered]) {
    const hasSettled = members.every(
      (member) =>
        member !== undefined &&
        member.isSettled &&
        member.sequence >= sequence &&
        !member.overhangs.some((overhang) => overhang.resource === resource),
    );
    if (hasSettled) ledger.settleLimit(resource);
  }
}
