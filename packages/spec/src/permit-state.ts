import { hasBit } from './bits.ts';
import type { Step } from './explore.ts';

/** Rules of the permit protocol that a seeded fault leaves out. */
export enum PermitFault {
  None = 'none',
  ReceiveOlderVersions = 'receive-older-versions',
  AcceptFromRemoved = 'accept-from-removed',
  SettleByClaims = 'settle-by-claims',
  SettleBeforeWorkEnds = 'settle-before-work-ends',
  StartDuringLowering = 'start-during-lowering',
  GiveUsedPermits = 'give-used-permits',
}

/** Bounds of an exploration. */
export interface PermitBounds {
  readonly entries: number;
  /** Limit of the resource under each configuration version. */
  readonly limits: readonly number[];
  readonly losses: number;
  readonly transfers: number;
}

interface HoldingState {
  readonly version: number;
  readonly owner: number;
}

interface ReportState {
  readonly sequence: number;
  readonly hasOverhang: boolean;
}

export interface PermitEntry {
  /** Whether the process runs; a lost one may have been declared dead while it still does. */
  readonly isAlive: boolean;
  /** Whether the freshness bound has passed since it was declared dead. */
  readonly isFenced: boolean;
  readonly sequence: number;
  readonly holdings: readonly HoldingState[];
  readonly running: number;
  /** Bit set of the incarnations that its view leaves out. */
  readonly removed: number;
  /** What it last heard of each other entry. */
  readonly reports: readonly ReportState[];
}

export interface Message {
  readonly from: number;
  readonly to: number;
  readonly index: number;
  readonly version: number;
}

/** Answers gathered for a settlement: the newest record of each permit and who has answered. */
interface Gathering {
  readonly answered: number;
  readonly newest: readonly HoldingState[];
  /** Permits that some answer claimed as its own. */
  readonly claimed: number;
}

/** A state: one resource among a few entries. */
export interface PermitState {
  readonly entries: readonly PermitEntry[];
  /** Bit set of the incarnations declared dead. */
  readonly removed: number;
  readonly sequence: number;
  /** Messages are never removed: they may come late, again and in any order. */
  readonly messages: readonly Message[];
  readonly gathering: Gathering | undefined;
  readonly losses: number;
  readonly violation: string | undefined;
}

type Apply = (state: PermitState) => PermitState;

/** A step with what it does. */
export interface PermitStep extends Step {
  readonly apply: Apply;
}

export const UNOWNED = -1;

/** Whether every removed entry has stopped starting and its work has ended. */
export function hasQuarantineEnded(state: PermitState): boolean {
  return state.entries.every(
    (entry, index) => !hasBit(state.removed, index) || (entry.isFenced && entry.running === 0),
  );
}

export function configure(state: PermitState, index: number): PermitState {
  const entry = getEntry(state, index);
  return setEntry(state, index, { ...entry, sequence: entry.sequence + 1 });
}

export function applyView(state: PermitState, index: number): PermitState {
  return setEntry(state, index, { ...getEntry(state, index), removed: state.removed });
}

export function give(state: PermitState, index: number, to: number, at: number): PermitState {
  const entry = getEntry(state, index);
  const version = (entry.holdings[at]?.version ?? 0) + 1;
  const holdings = entry.holdings.map((holding, position) =>
    position === at ? { version, owner: to } : holding,
  );
  const message = { from: index, to, index: at, version };
  const given = setEntry(state, index, { ...entry, holdings });
  return { ...given, messages: [...state.messages, message].sort(compareMessages) };
}

export function deliver(state: PermitState, message: Message): PermitState {
  const entry = getEntry(state, message.to);
  const holdings = entry.holdings.map((holding, position) =>
    position === message.index ? { version: message.version, owner: message.to } : holding,
  );
  return setEntry(state, message.to, { ...entry, holdings });
}

export function receiveReport(
  state: PermitState,
  from: number,
  to: number,
  report: ReportState,
): PermitState {
  const entry = getEntry(state, to);
  const reports = entry.reports.map((known, index) => (index === from ? report : known));
  return setEntry(state, to, { ...entry, reports });
}

export function answer(state: PermitState, index: number): PermitState {
  const { holdings } = getEntry(state, index);
  const gathering = state.gathering ?? {
    answered: 0,
    claimed: 0,
    newest: holdings.map(() => ({ version: 0, owner: UNOWNED })),
  };
  const newest = gathering.newest.map((known, at) => {
    const own = holdings[at];
    return own !== undefined && own.version > known.version ? own : known;
  });
  const claimed = holdings.reduce(
    (set, holding, at) => (holding.owner === index ? set | (1 << at) : set),
    gathering.claimed,
  );
  return {
    ...state,
    gathering: { answered: gathering.answered | (1 << index), newest, claimed },
  };
}

function compareMessages(left: Message, right: Message): number {
  return JSON.stringify(left) < JSON.stringify(right) ? -1 : 1;
}

export function getEntry(state: PermitState, index: number): PermitEntry {
  const entry = state.entries[index];
  if (entry === undefined) throw new Error(`there is no entry ${index}`);
  return entry;
}

export function setEntry(state: PermitState, index: number, entry: PermitEntry): PermitState {
  return { ...state, entries: state.entries.map((other, at) => (at === index ? entry : other)) };
}

export function countIn(state: PermitState): number {
  return state.entries.filter((_, index) => !hasBit(state.removed, index)).length;
}
