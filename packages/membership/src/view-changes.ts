import type { Incarnation } from '@currantgap/model';
import { findMember, isMember, type Member, type View } from './view.ts';

/** Kinds of view changes. */
export enum ViewChangeKind {
  /** A process joins as a new member, or at another address than its predecessor. */
  Join = 'join',
  /** A process replaces its predecessor at the same address, or joins an empty view. */
  Supersede = 'supersede',
  /** A process leaves after all its work has ended. */
  Leave = 'leave',
  /** Peers declare a process dead and remove it. */
  DeclareDead = 'declare',
}

/** Change from one view to the next. */
export interface ViewChange {
  readonly kind: ViewChangeKind;
  readonly next: View;
}

/** Kinds of view changes that remove a member. */
export type RemovalKind = ViewChangeKind.Leave | ViewChangeKind.DeclareDead;

/**
 * Whether a majority must first promise to stop confirming the current epoch. Without the promise,
 * a member that missed the change could still find a majority that confirms the old view. A
 * supersession needs no promise: member names and addresses stay the same, and the predecessor has
 * ended, because two processes cannot listen on one address.
 */
export function requiresPromise(change: ViewChange): boolean {
  return change.kind !== ViewChangeKind.Supersede;
}

/** Plans the view change by which a process becomes a member. */
export function planJoin(view: View, member: Member): ViewChange {
  const existing = findMember(view, member.name);
  if (existing === undefined) {
    const kind = view.seats.length === 0 ? ViewChangeKind.Supersede : ViewChangeKind.Join;
    return { kind, next: createNextView(view, [...view.seats, member], false) };
  }
  const kind = existing.address === member.address ? ViewChangeKind.Supersede : ViewChangeKind.Join;
  const members = view.seats.map((other) => (other.name === member.name ? member : other));
  return { kind, next: createNextView(view, members, true) };
}

/** Plans the removal of an incarnation; undefined when it is not a member. */
export function planRemoval(
  view: View,
  incarnation: Incarnation,
  kind: RemovalKind,
): ViewChange | undefined {
  if (!isMember(view, incarnation)) return undefined;
  const members = view.seats.filter((member) => member.incarnation !== incarnation);
  return { kind, next: createNextView(view, members, kind === ViewChangeKind.DeclareDead) };
}

function createNextView(view: View, members: readonly Member[], isUnclean: boolean): View {
  const epoch = view.epoch + 1;
  return {
    ...view,
    epoch,
    seats: [...members],
    uncleanEpoch: isUnclean ? epoch : view.uncleanEpoch,
  };
}
