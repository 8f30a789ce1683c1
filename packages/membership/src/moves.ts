import type { Incarnation } from '@currantgap/model';
import { findSeat, isMember, type Seat, type View } from './view.ts';

/** Kinds of view moves. */
export enum MoveKind {
  /** A process takes a new seat, or one whose address changed. */
  Join = 'join',
  /** A process takes the seat of its predecessor at the same address. */
  Supersede = 'supersede',
  /** A process gives up its seat after all its work has ended. */
  Leave = 'leave',
  /** Peers declare a process dead and take its seat away. */
  Declare = 'declare',
}

/** A move from one view to the next. */
export interface Move {
  readonly kind: MoveKind;
  readonly next: View;
}

/** Kinds of moves that take a seat away. */
export type DepartureKind = MoveKind.Leave | MoveKind.Declare;

/**
 * Whether a majority must promise to vouch no longer under the present epoch before the move, so
 * that nobody who missed the move can find a majority that vouches for the old view. A
 * supersession needs none: the seats stay the same, and the predecessor is gone, since two
 * processes cannot listen on one address.
 */
export function requiresPromise(move: Move): boolean {
  return move.kind !== MoveKind.Supersede;
}

/** Plans how a process takes its seat. */
export function planArrival(view: View, seat: Seat): Move {
  const present = findSeat(view, seat.name);
  if (present === undefined) {
    const kind = view.seats.length === 0 ? MoveKind.Supersede : MoveKind.Join;
    return { kind, next: createNext(view, [...view.seats, seat], false) };
  }
  const kind = present.address === seat.address ? MoveKind.Supersede : MoveKind.Join;
  const seats = view.seats.map((other) => (other.name === seat.name ? seat : other));
  return { kind, next: createNext(view, seats, true) };
}

/** Plans how an incarnation loses its seat; undefined when it has none. */
export function planDeparture(
  view: View,
  incarnation: Incarnation,
  kind: DepartureKind,
): Move | undefined {
  if (!isMember(view, incarnation)) return undefined;
  const seats = view.seats.filter((seat) => seat.incarnation !== incarnation);
  return { kind, next: createNext(view, seats, kind === MoveKind.Declare) };
}

function createNext(view: View, seats: readonly Seat[], isUnclean: boolean): View {
  const epoch = view.epoch + 1;
  return {
    ...view,
    epoch,
    seats: [...seats],
    uncleanEpoch: isUnclean ? epoch : view.uncleanEpoch,
  };
}
