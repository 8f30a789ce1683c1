import type { Step } from './explore.ts';

/** Rules of the freshness protocol that a check omits; each omission must lead to a violation. */
export enum FreshnessFault {
  None = 'none',
  /** A change is committed without an announcement. */
  SkipAnnouncement = 'skip-announcement',
  /** A change is committed before a majority has acknowledged the announcement. */
  AnnounceToMinority = 'announce-to-minority',
  /** The table accepts a commit that was sent under an older epoch. */
  CommitOnAnyEpoch = 'commit-on-any-epoch',
  /** An entry starts work although it knows of an announced change that it does not have. */
  IgnoreAnnouncements = 'ignore-announcements',
  /** A new view does not record the sequence of the committed change. */
  MoveWithoutSequence = 'move-without-sequence',
  /** A member is declared dead without promises of a majority. */
  DeclareWithoutPromise = 'declare-without-promise',
  /** An entry joins without promises of a majority. */
  JoinWithoutPromise = 'join-without-promise',
  /** A member still confirms the state of entries under an epoch that it promised to give up. */
  ConfirmAfterPromise = 'vouch-after-promise',
}

/** Bounds of an exploration. Each field is a count. */
export interface FreshnessBounds {
  readonly entries: number;
  /** Entries that are not members of the first view and join later. */
  readonly joiners: number;
  /** Changes of the view. */
  readonly moves: number;
  readonly crashes: number;
}

interface ViewState {
  /** Bit set of the member entries. */
  readonly members: number;
  /** 1 if the change was committed when the view was created, otherwise 0. */
  readonly sequence: number;
}

/** An entry. */
export interface EntryState {
  readonly isAlive: boolean;
  /** Epoch of the newest view that it knows; 0 if there is none. */
  readonly epoch: number;
  /** 1 if it has applied the change, otherwise 0. */
  readonly sequence: number;
  /** Whether a majority has confirmed its state since the bound passed. */
  readonly isFresh: boolean;
  /** Newest epoch under which it has promised to confirm nothing more; 0 if there is none. */
  readonly promisedEpoch: number;
  /** Epoch of the announcement that it knows of; 0 if there is none. */
  readonly announcedEpoch: number;
  /** Bit set of the members that have confirmed its state since the bound passed. */
  readonly confirmations: number;
}

/** A proposed change of the view. */
interface Proposal {
  /** Epoch of the view to replace. */
  readonly epoch: number;
  /** Bit set of the members of the new view. */
  readonly members: number;
  /** Bit set of the entries that have promised to confirm nothing more under that epoch. */
  readonly promises: number;
}

/** State of the model: one restrictive change, committed at most once, and a few entries. */
export interface FreshnessState {
  /** Views by epoch; the last one is current. */
  readonly views: readonly ViewState[];
  /** 1 if the table holds the change, otherwise 0. */
  readonly committedSequence: number;
  /** 0 before the commit, 1 after it, 2 once the freshness bound has passed since the commit. */
  readonly commitAge: number;
  readonly entries: readonly EntryState[];
  readonly proposal: Proposal | undefined;
  /** Epoch of the writer's announcement; 0 if there is none. */
  readonly writeEpoch: number;
  /** Bit set of the entries that have acknowledged the announcement. */
  readonly acknowledgements: number;
  /** Epoch of a commit in flight to the table; 0 if there is none. */
  readonly inFlightEpoch: number;
  /** Crashes so far. */
  readonly crashes: number;
}

type Apply = (state: FreshnessState) => FreshnessState;

/** A step and the transition that it makes. */
export interface FreshnessStep extends Step {
  readonly apply: Apply;
}

/** Index of the entry that writes the change. */
export const WRITER = 0;

/** Creates an entry that knows the view of `epoch` and has no other state. */
export function createEntry(epoch: number, isAlive: boolean): EntryState {
  return {
    isAlive,
    epoch,
    sequence: 0,
    isFresh: false,
    promisedEpoch: 0,
    announcedEpoch: 0,
    confirmations: 0,
  };
}

/** Encodes an entry; equal entries have equal codes. */
export function encodeEntry(entry: EntryState): string {
  const { isAlive, epoch, sequence, isFresh, promisedEpoch, announcedEpoch, confirmations } = entry;
  const flags = (isAlive ? 1 : 0) + (isFresh ? 2 : 0) + sequence * 4;
  return `${flags}.${epoch}.${promisedEpoch}.${announcedEpoch}.${confirmations}`;
}

/** Lets the freshness bound pass after the commit. */
export function advancePastBound(state: FreshnessState): FreshnessState {
  return { ...state, commitAge: 2 };
}

/** Starts to announce the change under the current view; the writer counts as acknowledging it. */
export function announce(state: FreshnessState): FreshnessState {
  const epoch = state.views.length - 1;
  const entry = { ...getEntry(state, WRITER), announcedEpoch: epoch };
  return { ...setEntry(state, WRITER, entry), writeEpoch: epoch, acknowledgements: 1 << WRITER };
}

/** Acknowledges the announcement at an entry. */
export function acknowledge(state: FreshnessState, index: number): FreshnessState {
  const entry = getEntry(state, index);
  const announcedEpoch = entry.sequence === 1 ? 0 : state.writeEpoch;
  return {
    ...setEntry(state, index, { ...entry, announcedEpoch }),
    acknowledgements: state.acknowledgements | (1 << index),
  };
}

/** Sends the announced change to the table. */
export function sendCommit(state: FreshnessState): FreshnessState {
  return { ...state, inFlightEpoch: state.writeEpoch, writeEpoch: 0, acknowledgements: 0 };
}

/** Commits the change in flight to the table. */
export function commit(state: FreshnessState): FreshnessState {
  return { ...state, committedSequence: 1, commitAge: 1, inFlightEpoch: 0 };
}

/** Lets an entry read the current view and the change from the table. */
export function readTable(state: FreshnessState, index: number): FreshnessState {
  const entry = getEntry(state, index);
  const epoch = state.views.length - 1;
  const isObsolete = state.committedSequence === 1 || entry.announcedEpoch < epoch;
  return setEntry(state, index, {
    ...entry,
    epoch,
    confirmations: entry.epoch < epoch ? 0 : entry.confirmations,
    sequence: state.committedSequence,
    announcedEpoch: isObsolete ? 0 : entry.announcedEpoch,
  });
}

/** Crashes an entry, which loses its state. */
export function crash(state: FreshnessState, index: number): FreshnessState {
  const entry = createEntry(0, false);
  return { ...setEntry(state, index, entry), crashes: state.crashes + 1 };
}

/** Starts an entry with an empty state that knows the view of `epoch`. */
export function startEntry(state: FreshnessState, index: number, epoch: number): FreshnessState {
  return setEntry(state, index, createEntry(epoch, true));
}

/** Proposes new members in place of those of the current view. */
export function propose(state: FreshnessState, members: number): FreshnessState {
  return { ...state, proposal: { epoch: state.views.length - 1, members, promises: 0 } };
}

/** Lets an entry promise to confirm nothing more under the epoch of the proposal. */
export function promise(state: FreshnessState, index: number): FreshnessState {
  const { proposal } = state;
  if (proposal === undefined) return state;
  const entry = { ...getEntry(state, index), promisedEpoch: proposal.epoch };
  const promises = proposal.promises | (1 << index);
  return { ...setEntry(state, index, entry), proposal: { ...proposal, promises } };
}

/** Clears the views that no entry uses, so that equivalent states have equal codes. */
export function dropUnusedViews(state: FreshnessState): FreshnessState {
  const last = state.views.length - 1;
  const used = new Set([last, state.writeEpoch, ...state.entries.map((entry) => entry.epoch)]);
  const views = state.views.map((view, epoch) => (used.has(epoch) ? view : UNUSED_VIEW));
  return { ...state, views };
}

const UNUSED_VIEW: ViewState = { members: 0, sequence: 0 };

/** Gets the view of an epoch; a view without members if there is none. */
export function getView(state: FreshnessState, epoch: number): ViewState {
  return state.views[epoch] ?? { members: 0, sequence: 0 };
}

/** Gets an entry; a dead one if there is none. */
export function getEntry(state: FreshnessState, index: number): EntryState {
  return state.entries[index] ?? createEntry(0, false);
}

/** Replaces one entry. */
export function setEntry(state: FreshnessState, index: number, entry: EntryState): FreshnessState {
  const normalized = normalize(entry);
  return {
    ...state,
    entries: state.entries.map((other, at) => (at === index ? normalized : other)),
  };
}

/** Clears the fields that no longer have an effect, so that equivalent states have equal codes. */
function normalize(entry: EntryState): EntryState {
  const promisedEpoch = entry.promisedEpoch >= entry.epoch ? entry.promisedEpoch : 0;
  if (entry.sequence === 0) return { ...entry, promisedEpoch };
  return { ...entry, promisedEpoch, announcedEpoch: 0, confirmations: 0, isFresh: false };
}

function countBits(set: number): number {
  let count = 0;
  for (let rest = set; rest > 0; rest >>= 1) count += rest & 1;
  return count;
}

/**
 * Whether the supporters are a majority, by the rule of the package `membership`: more than half
 * of the members, or exactly half including the first member.
 */
export function hasMajority(members: number, supporters: number): boolean {
  const size = countBits(members);
  const count = countBits(members & supporters);
  const first = members & -members;
  return count * 2 > size || (count * 2 === size && (supporters & first) !== 0);
}
