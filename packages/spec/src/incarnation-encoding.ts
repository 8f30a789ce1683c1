import type {
  Answer,
  Assigned,
  Call,
  IncarnationBounds,
  IncarnationOwner,
  IncarnationState,
  IncarnationTarget,
} from './incarnation-state.ts';
import { computeHorizon } from './incarnation-target.ts';

/** Encodes a state without the absolute time, and without what no rule tells apart. */
export function encodeState(state: IncarnationState, bounds: IncarnationBounds): string {
  const { now, target, owner, calls, answer } = state;
  return [
    encodeTarget(now, target, bounds),
    encodeOwner(now, owner, bounds),
    calls
      .map((call) => describeCall(now, call))
      .sort()
      .join(';'),
    answer === undefined ? '' : encodeAnswer(now, answer),
  ].join('|');
}

/** Describes a call under way, in traces. */
export function describeCall(
  now: number,
  { run, token, sentAt, leaseEndsAt, lastIncarnation }: Call,
): string {
  const name = run === 0 ? 'a renewal' : `start ${run}`;
  const bound = `up to incarnation ${lastIncarnation}`;
  return `${name} (token ${token}, age ${now - sentAt}, lease ${leaseEndsAt - now}, ${bound})`;
}

function encodeTarget(now: number, target: IncarnationTarget, bounds: IncarnationBounds): string {
  const isLast = target.incarnation === bounds.restarts;
  return [
    target.incarnation,
    target.isUp,
    target.canReturn && !target.isUp,
    isLast ? 0 : target.bornAt - now,
    target.token,
    target.runs.join('+'),
    Math.max(target.leaseEndsAt - now, -1),
    target.highestEndedRun,
  ].join();
}

function encodeOwner(now: number, owner: IncarnationOwner, bounds: IncarnationBounds): string {
  const { assigned } = owner;
  return [
    owner.token,
    owner.fence,
    owner.knownIncarnation,
    owner.clockLag,
    Math.max(owner.leasesExpireAt - now, -1),
    Math.max(owner.leaseGrantedAt - now, -computeHorizon(bounds)),
    owner.mayHoldForeignGrant,
    owner.lastRun,
    owner.isElsewhere,
    assigned === undefined ? '' : encodeAssigned(now, assigned, bounds.answerDelay + 1),
  ].join();
}

/** `recentAge` is the age from which a time is earlier than all requests under way. */
function encodeAssigned(now: number, assigned: Assigned, recentAge: number): string {
  const { run, token, incarnation, hasBegun, expiresAt, expectedAfter, stopAnsweredAt } = assigned;
  const getAge = (time: number): number => Math.max(time - now, -recentAge);
  const begun = [run, getAge(expectedAfter)];
  if (hasBegun) return begun.join();
  const stop = stopAnsweredAt === undefined ? '' : getAge(stopAnsweredAt);
  return [...begun, token, incarnation, getAge(expiresAt), stop].join();
}

function encodeAnswer(now: number, answer: Answer): string {
  const { incarnation, runs, token, sentAt, knownIncarnation, clockLag } = answer;
  return [incarnation, runs.join('+'), token, sentAt - now, knownIncarnation, clockLag].join();
}
