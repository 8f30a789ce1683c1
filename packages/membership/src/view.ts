import type { Incarnation } from '@currantgap/model';
import { z } from 'zod';

const seatSchema = z.object({
  name: z.string(),
  address: z.string(),
  dataCentre: z.string(),
  incarnation: z.string(),
});

const viewSchema = z.object({
  epoch: z.number(),
  /** Sequence of the last configuration change accepted before this epoch. */
  sequence: z.number(),
  seats: z.array(seatSchema),
  /** Epoch of the last seat left without handing over its permits. */
  uncleanEpoch: z.number(),
  /** Epoch up to which permits of lost incarnations were taken back. */
  settledEpoch: z.number(),
});

/** The place of one entry in the view. */
export type Member = z.infer<typeof seatSchema>;

/** The entries that act together, as the table holds them. */
export type View = z.infer<typeof viewSchema>;

/** The view before any entry has joined. */
export const EMPTY_VIEW: View = {
  epoch: 0,
  sequence: 0,
  seats: [],
  uncleanEpoch: 0,
  settledEpoch: 0,
};

/** Parses the value of the view row; an absent row has an empty value. */
export function parseView(value: string): View {
  return value === '' ? EMPTY_VIEW : viewSchema.parse(JSON.parse(value));
}

/** Formats a view as the value of its row. */
export function formatView(view: View): string {
  return JSON.stringify(view);
}

/**
 * Whether the supporters make a majority of the view. With an even number of seats the first one
 * breaks the tie, so that one half of a split view can go on.
 */
export function hasMajority(view: View, supporters: ReadonlySet<Incarnation>): boolean {
  const members = listIncarnations(view);
  const count = members.filter((member) => supporters.has(member)).length;
  const [first] = members;
  const hasTieBreak = first !== undefined && supporters.has(first);
  return count * 2 > members.length || (count * 2 === members.length && hasTieBreak);
}

/** Lists the incarnations of the view, in order of their seats. */
export function listIncarnations(view: View): Incarnation[] {
  return view.seats.map((seat) => seat.incarnation);
}

/** Whether an incarnation has a seat. */
export function isMember(view: View, incarnation: Incarnation): boolean {
  return view.seats.some((seat) => seat.incarnation === incarnation);
}

/** Whether `offered` is newer than `present`. */
export function isNewer(offered: View, present: View): boolean {
  if (offered.epoch !== present.epoch) return offered.epoch > present.epoch;
  return offered.settledEpoch > present.settledEpoch;
}

/** Whether permits of lost incarnations have yet to be taken back. */
export function isReclaimComplete(view: View): boolean {
  return view.settledEpoch >= view.uncleanEpoch;
}

/** Finds the seat of a name. */
export function findMember(view: View, name: string): Member | undefined {
  return view.seats.find((seat) => seat.name === name);
}

/** Whether the member settles permits: the one on the first seat does. */
export function isReclaimer(view: View, incarnation: Incarnation): boolean {
  return listIncarnations(view)[0] === incarnation;
}
