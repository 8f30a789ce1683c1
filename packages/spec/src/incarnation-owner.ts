import {
  Fence,
  IncarnationFault,
  setOwner,
  type Answer,
  type Assigned,
  type IncarnationBounds,
  type IncarnationOwner,
  type IncarnationState,
} from './incarnation-state.ts';

/** Rules by which the owner handles answers and decides that a run is lost. */
export class IncarnationOwnerRules {
  readonly #bounds: IncarnationBounds;
  readonly #fault: IncarnationFault;

  constructor(bounds: IncarnationBounds, fault: IncarnationFault) {
    this.#bounds = bounds;
    this.#fault = fault;
  }

  /** Whether the owner grants leases and starts runs. */
  canGrant({ fence }: IncarnationOwner): boolean {
    return fence === Fence.Closed || this.#fault === IncarnationFault.GrantBeforeClosing;
  }

  /** Records that another incarnation may answer. */
  doubtFence(state: IncarnationState): IncarnationState {
    const isDoubted = state.owner.fence === Fence.Closed;
    return isDoubted ? setOwner(state, { fence: Fence.Doubted }) : state;
  }

  /** Records that another incarnation has answered. */
  openFence(state: IncarnationState): IncarnationState {
    if (this.#fault === IncarnationFault.NoRaise || state.owner.fence === Fence.Raised)
      return state;
    return setOwner(state, { fence: Fence.Open });
  }

  /** Raises the token of an open fence, with the next request for a report. */
  raiseToken(state: IncarnationState): IncarnationState {
    const { fence, token } = state.owner;
    if (fence !== Fence.Open || token > this.#bounds.raises) return state;
    return setOwner(state, { fence: Fence.Raised, token: token + 1 });
  }

  /** Records a grant, whose lease ends at a time by the clock of the known incarnation. */
  recordGrant(state: IncarnationState): IncarnationState {
    const { now, owner } = state;
    const leasesExpireAt = Math.max(owner.leasesExpireAt, now + this.#bounds.lease);
    return setOwner(state, { leasesExpireAt, leaseGrantedAt: now });
  }

  /** Records that another incarnation has taken, or may take, a grant that was not meant for it. */
  expectForeignGrant(state: IncarnationState): IncarnationState {
    const { now, owner } = state;
    const latest = Math.max(this.#computeForeignLeaseEnd(owner), now + this.#bounds.maximumLease);
    const leasesExpireAt = Math.max(owner.leasesExpireAt, latest);
    return setOwner(state, { leasesExpireAt, mayHoldForeignGrant: true });
  }

  /** Whether the leases on a silent target are over, so that the assigned run is lost. */
  canExpire({ now, owner }: IncarnationState): boolean {
    if (owner.assigned === undefined || now <= owner.leasesExpireAt) return false;
    const isKnown =
      owner.assigned.hasBegun || this.#fault === IncarnationFault.FreeAfterGrantedLease;
    return isKnown || now > this.#computeForeignLeaseEnd(owner);
  }

  /** Whether an answer tells of an earlier state than the owner knows. */
  isOutdated({ owner }: IncarnationState, answer: Answer): boolean {
    const isSame = answer.incarnation === owner.knownIncarnation;
    return !isSame && answer.knownIncarnation !== owner.knownIncarnation;
  }

  /** Applies a report of the target. */
  applyReport(state: IncarnationState, answer: Answer): IncarnationState {
    let next = state;
    if (answer.incarnation !== state.owner.knownIncarnation)
      next = this.#endIncarnation(next, answer);
    if (next.owner.fence === Fence.Doubted) next = setOwner(next, { fence: Fence.Closed });
    next = this.#closeFence(next, answer);
    return this.#applyRuns(next, answer);
  }

  /** Frees the task, whose start no later incarnation carries out. */
  release(state: IncarnationState, lastIncarnation: number): IncarnationState {
    const { assigned } = state.owner;
    const freed = setOwner(state, { assigned: undefined });
    if (this.#fault === IncarnationFault.CarryOutFreedStart) return freed;
    const calls = state.calls
      .map((call) => (call.run === assigned?.run ? { ...call, lastIncarnation } : call))
      .filter((call) => call.lastIncarnation >= state.target.incarnation);
    return { ...freed, calls };
  }

  #computeForeignLeaseEnd({ leaseGrantedAt }: IncarnationOwner): number {
    const { latestExecution, shortExecution, maximumLease } = this.#bounds;
    const isShort = this.#fault === IncarnationFault.NoRaise;
    return leaseGrantedAt + (isShort ? shortExecution : latestExecution) + maximumLease;
  }

  #endIncarnation(state: IncarnationState, answer: Answer): IncarnationState {
    const { assigned } = state.owner;
    const isLost =
      assigned?.hasBegun === true &&
      answer.sentAt > assigned.expectedAfter &&
      !answer.runs.includes(assigned.run);
    const ended = isLost ? this.release(state, answer.incarnation) : state;
    const remaining = ended.owner.assigned;
    const known = setOwner(ended, {
      knownIncarnation: answer.incarnation,
      clockLag: answer.clockLag,
      assigned: remaining === undefined ? undefined : { ...remaining, stopAnsweredAt: undefined },
    });
    return this.expectForeignGrant(this.openFence(known));
  }

  #closeFence(state: IncarnationState, { token }: Answer): IncarnationState {
    const { fence, mayHoldForeignGrant, leasesExpireAt } = state.owner;
    const isAnswered =
      token === state.owner.token || this.#fault === IncarnationFault.CloseByEarlierToken;
    if (fence !== Fence.Raised || !isAnswered) return state;
    return setOwner(state, {
      fence: Fence.Closed,
      mayHoldForeignGrant: false,
      leasesExpireAt: mayHoldForeignGrant ? state.now + this.#bounds.maximumLease : leasesExpireAt,
    });
  }

  #applyRuns(state: IncarnationState, answer: Answer): IncarnationState {
    const { now, owner } = state;
    const listed = answer.runs.at(-1);
    if (listed === undefined) return this.#applyUnlisted(state, answer);
    const isLeaseUnknown = owner.leasesExpireAt <= now;
    const leased = isLeaseUnknown
      ? setOwner(state, { leasesExpireAt: now + this.#bounds.maximumLease })
      : state;
    const assigned = owner.assigned ?? buildAssigned(leased, listed);
    if (assigned.run !== listed) return this.#applyUnlisted(leased, answer);
    return setOwner(leased, {
      assigned: { ...assigned, hasBegun: true, incarnation: owner.knownIncarnation },
    });
  }

  #applyUnlisted(state: IncarnationState, answer: Answer): IncarnationState {
    const { assigned } = state.owner;
    if (assigned === undefined || answer.sentAt <= assigned.expectedAfter) return state;
    const isLost = assigned.hasBegun || isStartPrevented(state.owner, assigned, answer);
    return isLost ? this.release(state, answer.incarnation) : state;
  }
}

/** Creates the assignment of a run that is started or first reported now. */
export function buildAssigned({ now, owner }: IncarnationState, run: number): Assigned {
  return {
    run,
    token: owner.token,
    incarnation: owner.knownIncarnation,
    hasBegun: false,
    expiresAt: now,
    expectedAfter: now,
    stopAnsweredAt: undefined,
  };
}

/** Whether a run that a report does not list can no longer begin on the incarnation that reports. */
function isStartPrevented(
  owner: IncarnationOwner,
  { token, incarnation, stopAnsweredAt, expiresAt }: Assigned,
  answer: Answer,
): boolean {
  if (token < answer.token) return true;
  if (stopAnsweredAt !== undefined && answer.sentAt > stopAnsweredAt) return true;
  return incarnation === owner.knownIncarnation && answer.sentAt > expiresAt;
}
