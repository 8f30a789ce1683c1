import type { Incarnation } from '@currantgap/model';
import { z } from 'zod';

const memberSchema = z.object({
  name: z.string(),
  address: z.string(),
  dataCentre: z.string(),
  incarnation: z.string(),
});

const viewSchema = z.object({
  epoch: z.number(),
  /** Sequence of the last configuration change accepted before this epoch. */
  sequence: z.number(),
  seats: z.array(memberSchema),
  /** Latest epoch in which an incarnation was lost before it had transferred its permits. */
  uncleanEpoch: z.number(),
  /** Epoch up to which the permits of lost incarnations have been reclaimed. */
  settledEpoch: z.number(),
});

/** Entry of the fleet as a member of the view. */
export type Member = z.infer<typeof memberSchema>;

/** Members of the fleet at one epoch, as stored in the table. */
export type View = z.infer<typeof viewSchema>;

/** View before any entry has joined. */
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
 * Whether the supporters form a majority of the view. With an even number of members, half of them
 * suffices if it includes the first member, so that one side of an even partition can continue.
 */
export function hasMajority(view: View, supporters: ReadonlySet<Incarnation>): boolean {
  const incarnations = listIncarnations(view);
  const count = incarnations.filter((incarnation) => supporters.has(incarnation)).length;
  const [first] = incarnations;
  const hasTieBreak = first !== undefined && supporters.has(first);
  return count * 2 > incarnations.length || (count * 2 === incarnations.length && hasTieBreak);
}

/** Lists the incarnations of the members, in the order of the view. */
export function listIncarnations(view: View): Incarnation[] {
  return view.seats.map((member) => member.incarnation);
}

/** Whether an incarnation is a member of the view. */
export function isMember(view: View, incarnation: Incarnation): boolean {
  return view.seats.some((member) => member.incarnation === incarnation);
}

/** Whether `offered` has a later epoch than `present`, or in the same epoch a later reclaim. */
export function isNewer(offered: View, present: View): boolean {
  if (offered.epoch !== present.epoch) return offered.epoch > present.epoch;
  return offered.settledEpoch > present.settledEpoch;
}

/** Whether the permits of all lost incarnations have been reclaimed. */
export function isReclaimComplete(view: View): boolean {
  return view.settledEpoch >= view.uncleanEpoch;
}

/** Finds a member by name. */
export function findMember(view: View, name: string): Member | undefined {
  return view.seats.find((member) => member.name === name);
}

/** Whether the incarnation reclaims permits: the first member of the view does. */
export function isReclaimer(view: View, incarnation: Incarnation): boolean {
  return listIncarnations(view)[0] === incarnation;
}
