import type { Incarnation } from '@currantgap/model';
import { findMember, isMember, type Member, type View } from './view.ts';

/** Kinds of view moves. */
export enum ViewChangeKind {
  /** A process takes a new seat, or one whose address changed. */
  Join = 'join',
  /** A process takes the seat of its predecessor at the same address. */
  Supersede = 'supersede',
  /** A process gives up its seat after all its work has ended. */
  Leave = 'leave',
  /** Peers declare a process dead and take its seat away. */
  DeclareDead = 'declare',
}

/** A move from one view to the next. */
export interface ViewChange {
  readonly kind: ViewChangeKind;
  readonly next: View;
}

/** Kinds of moves that take a seat away. */
export type RemovalKind = ViewChangeKind.Leave | ViewChangeKind.DeclareDead;

/**
 * Whether a majority must promise to vouch no longer under the present epoch before the move, so
 * that nobody who missed the move can find a majority that vouches for the old view. A
 * supersession needs none: the seats stay the same, and the predecessor is gone, since two
 * processes cannot listen on one address.
 */
export function requiresPromise(move: ViewChange): boolean {
  return move.kind !== ViewChangeKind.Supersede;
}

/** Plans how a process takes its seat. */
export function planJoin(view: View, seat: Member): ViewChange {
  const present = findMember(view, seat.name);
  if (present === undefined) {
    const kind = view.seats.length === 0 ? ViewChangeKind.Supersede : ViewChangeKind.Join;
    return { kind, next: createNext(view, [...view.seats, seat], false) };
  }
  const kind = present.address === seat.address ? ViewChangeKind.Supersede : ViewChangeKind.Join;
  const seats = view.seats.map((other) => (other.name === seat.name ? seat : other));
  return { kind, next: createNext(view, seats, true) };
}

/** Plans how an incarnation loses its seat; undefined when it has none. */
export function planRemoval(
  view: View,
  incarnation: Incarnation,
  kind: RemovalKind,
): ViewChange | undefined {
  if (!isMember(view, incarnation)) return undefined;
  const seats = view.seats.filter((seat) => seat.incarnation !== incarnation);
  return { kind, next: createNext(view, seats, kind === ViewChangeKind.DeclareDead) };
}

function createNext(view: View, seats: readonly Member[], isUnclean: boolean): View {
  const epoch = view.epoch + 1;
  return {
    ...view,
    epoch,
    seats: [...seats],
    uncleanEpoch: isUnclean ? epoch : view.uncleanEpoch,
  };
}
