import type { Step } from './explore.ts';

/** Rules of the freshness protocol that a seeded fault leaves out. */
export enum FreshnessFault {
  None = 'none',
  SkipAnnouncement = 'skip-announcement',
  AnnounceToMinority = 'announce-to-minority',
  CommitOnAnyEpoch = 'commit-on-any-epoch',
  IgnoreAnnouncements = 'ignore-announcements',
  MoveWithoutSequence = 'move-without-sequence',
  DeclareWithoutPromise = 'declare-without-promise',
  JoinWithoutPromise = 'join-without-promise',
  VouchAfterPromise = 'vouch-after-promise',
}

/** Bounds of an exploration. */
export interface FreshnessBounds {
  readonly entries: number;
  /** Entries that join after the first view. */
  readonly joiners: number;
  readonly moves: number;
  readonly crashes: number;
}

interface ViewState {
  /** Bit set of the entries with a seat. */
  readonly members: number;
  /** Whether the change had been accepted when the view came about. */
  readonly sequence: number;
}

export interface EntryState {
  readonly isAlive: boolean;
  readonly epoch: number;
  /** 1 when the change is in force here. */
  readonly sequence: number;
  /** Whether a majority has vouched for it since the bound passed. */
  readonly isVouchedFor: boolean;
  readonly promised: number;
  /** Epoch of the announcement it knows of, 0 when none. */
  readonly announced: number;
  /** Bit set of the members that vouched since the bound passed. */
  readonly vouchers: number;
}

interface Proposal {
  readonly epoch: number;
  readonly members: number;
  readonly promises: number;
}

/** A state: one restrictive change, accepted at most once, among a few entries. */
export interface FreshnessState {
  readonly views: readonly ViewState[];
  /** 1 when the table holds the change. */
  readonly committed: number;
  /** 0 before the commit, 1 in its tick, 2 when the bound has passed since. */
  readonly age: number;
  readonly entries: readonly EntryState[];
  readonly proposal: Proposal | undefined;
  /** Epoch of the writer's announcement and who has acknowledged it. */
  readonly writeEpoch: number;
  readonly acknowledged: number;
  /** Epoch of a commit on its way to the table, 0 when none. */
  readonly inFlight: number;
  readonly crashes: number;
}

type Apply = (state: FreshnessState) => FreshnessState;

/** A step with what it does. */
export interface FreshnessStep extends Step {
  readonly apply: Apply;
}

export const WRITER = 0;

export function createEntry(epoch: number, isAlive: boolean): EntryState {
  return {
    isAlive,
    epoch,
    sequence: 0,
    isVouchedFor: false,
    promised: 0,
    announced: 0,
    vouchers: 0,
  };
}

export function encodeEntry(entry: EntryState): string {
  const { isAlive, epoch, sequence, isVouchedFor, promised, announced, vouchers } = entry;
  const flags = (isAlive ? 1 : 0) + (isVouchedFor ? 2 : 0) + sequence * 4;
  return `${flags}.${epoch}.${promised}.${announced}.${vouchers}`;
}

export function elapse(state: FreshnessState): FreshnessState {
  return { ...state, age: 2 };
}

export function announce(state: FreshnessState): FreshnessState {
  const epoch = state.views.length - 1;
  const entry = { ...getEntry(state, WRITER), announced: epoch };
  return { ...setEntry(state, WRITER, entry), writeEpoch: epoch, acknowledged: 1 << WRITER };
}

export function acknowledge(state: FreshnessState, index: number): FreshnessState {
  const entry = getEntry(state, index);
  const announced = entry.sequence === 1 ? 0 : state.writeEpoch;
  return {
    ...setEntry(state, index, { ...entry, announced }),
    acknowledged: state.acknowledged | (1 << index),
  };
}

export function sendCommit(state: FreshnessState): FreshnessState {
  return { ...state, inFlight: state.writeEpoch, writeEpoch: 0, acknowledged: 0 };
}

export function commit(state: FreshnessState): FreshnessState {
  return { ...state, committed: 1, age: 1, inFlight: 0 };
}

export function read(state: FreshnessState, index: number): FreshnessState {
  const entry = getEntry(state, index);
  const epoch = state.views.length - 1;
  const isVoid = state.committed === 1 || entry.announced < epoch;
  return setEntry(state, index, {
    ...entry,
    epoch,
    vouchers: entry.epoch < epoch ? 0 : entry.vouchers,
    sequence: state.committed,
    announced: isVoid ? 0 : entry.announced,
  });
}

export function crash(state: FreshnessState, index: number): FreshnessState {
  const entry = createEntry(0, false);
  return { ...setEntry(state, index, entry), crashes: state.crashes + 1 };
}

export function revive(state: FreshnessState, index: number, epoch: number): FreshnessState {
  return setEntry(state, index, createEntry(epoch, true));
}

export function propose(state: FreshnessState, members: number): FreshnessState {
  return { ...state, proposal: { epoch: state.views.length - 1, members, promises: 0 } };
}

export function promise(state: FreshnessState, index: number): FreshnessState {
  const { proposal } = state;
  if (proposal === undefined) return state;
  const entry = { ...getEntry(state, index), promised: proposal.epoch };
  const promises = proposal.promises | (1 << index);
  return { ...setEntry(state, index, entry), proposal: { ...proposal, promises } };
}

/** Forgets the views under which nobody is any more, so that equal states are found equal. */
export function dropUnusedViews(state: FreshnessState): FreshnessState {
  const last = state.views.length - 1;
  const used = new Set([last, state.writeEpoch, ...state.entries.map((entry) => entry.epoch)]);
  const views = state.views.map((view, epoch) => (used.has(epoch) ? view : FORGOTTEN));
  return { ...state, views };
}

const FORGOTTEN: ViewState = { members: 0, sequence: 0 };

export function getView(state: FreshnessState, epoch: number): ViewState {
  return state.views[epoch] ?? { members: 0, sequence: 0 };
}

export function getEntry(state: FreshnessState, index: number): EntryState {
  return state.entries[index] ?? createEntry(0, false);
}

export function setEntry(state: FreshnessState, index: number, entry: EntryState): FreshnessState {
  const kept = normalize(entry);
  return { ...state, entries: state.entries.map((other, at) => (at === index ? kept : other)) };
}

/** Forgets what cannot matter any more, so that equal states are found equal. */
function normalize(entry: EntryState): EntryState {
  const promised = entry.promised >= entry.epoch ? entry.promised : 0;
  if (entry.sequence === 0) return { ...entry, promised };
  return { ...entry, promised, announced: 0, vouchers: 0, isVouchedFor: false };
}

function countBits(set: number): number {
  let count = 0;
  for (let rest = set; rest > 0; rest >>= 1) count += rest & 1;
  return count;
}

/** The rule of `membership`: more than half, the first seat breaking a tie. */
export function hasMajority(members: number, supporters: number): boolean {
  const size = countBits(members);
  const count = countBits(members & supporters);
  const first = members & -members;
  return count * 2 > size || (count * 2 === size && (supporters & first) !== 0);
}
