import { hasBit } from './bits.ts';
import type { Step } from './explore.ts';

/** Rules of the permit protocol that a check omits; each omission must lead to a violation. */
export enum PermitFault {
  None = 'none',
  /** A receiver accepts a permit with a version that it already knows, or an older one. */
  ReceiveOlderVersions = 'receive-older-versions',
  /** A receiver accepts a permit from an entry that its view has removed. */
  AcceptFromRemoved = 'accept-from-removed',
  /** Settlement decides by the owners that entries claim, not by each permit's newest record. */
  SettleByClaims = 'settle-by-claims',
  /** Settlement does not wait until the work of removed entries has ended. */
  SettleBeforeWorkEnds = 'settle-before-work-ends',
  /** An entry starts work before the other entries have adapted to a lowered limit. */
  StartDuringLowering = 'start-during-lowering',
  /** An entry gives away permits that its running work uses. */
  GiveUsedPermits = 'give-used-permits',
}

/** Bounds of an exploration. All fields but `limits` are counts. */
export interface PermitBounds {
  readonly entries: number;
  /** Limit of the resource under each configuration version. */
  readonly limits: readonly number[];
  /** Crashes, and declarations that a running entry is dead. */
  readonly losses: number;
  /** Messages that carry a permit. */
  readonly transfers: number;
}

/** What an entry knows of one permit. */
interface HoldingState {
  /** Increases with each change of the owner. */
  readonly version: number;
  /** Index of the owning entry, or `UNOWNED`. */
  readonly owner: number;
}

interface ReportState {
  readonly sequence: number;
  /** Whether more work runs than the permits cover, after the limit was lowered. */
  readonly hasOverhang: boolean;
}

/** An entry. */
export interface PermitEntry {
  /** Whether the process runs. A running process may have been declared dead. */
  readonly isAlive: boolean;
  /** Whether the freshness bound has passed since it was declared dead. */
  readonly isFenced: boolean;
  /** Sequence of the configuration in force here. */
  readonly sequence: number;
  /** What it knows of each permit. */
  readonly holdings: readonly HoldingState[];
  /** Pieces of work in progress. */
  readonly running: number;
  /** Bit set of the entries that its view has removed. */
  readonly removed: number;
  /** Last report that it received from each entry. */
  readonly reports: readonly ReportState[];
}

/** A message that gives a permit to another entry. */
export interface Message {
  readonly from: number;
  readonly to: number;
  /** Index of the permit. */
  readonly index: number;
  readonly version: number;
}

/** Answers collected for a settlement. */
interface SettlementAnswers {
  /** Bit set of the entries that have answered. */
  readonly answered: number;
  /** Newest record of each permit among the answers. */
  readonly newest: readonly HoldingState[];
  /** Bit set of the permits that at least one answering entry owns by its own record. */
  readonly claimed: number;
}

/** State of the model: the permits of one resource and a few entries. */
export interface PermitState {
  readonly entries: readonly PermitEntry[];
  /** Bit set of the entries declared dead. */
  readonly removed: number;
  /** Sequence of the newest configuration. */
  readonly sequence: number;
  /** Messages are never removed, so they can arrive late, repeatedly and in any order. */
  readonly messages: readonly Message[];
  readonly settlementAnswers: SettlementAnswers | undefined;
  /** Crashes, and declarations that a running entry is dead, so far. */
  readonly losses: number;
  readonly violation: string | undefined;
}

type Apply = (state: PermitState) => PermitState;

/** A step and the transition that it makes. */
export interface PermitStep extends Step {
  readonly apply: Apply;
}

/** Owner of a permit whose owner is not known. */
export const UNOWNED = -1;

/** Whether every removed entry can no longer start work and has none in progress. */
export function hasQuarantineEnded(state: PermitState): boolean {
  return state.entries.every(
    (entry, index) => !hasBit(state.removed, index) || (entry.isFenced && entry.running === 0),
  );
}

/** Applies the next configuration at an entry. */
export function configure(state: PermitState, index: number): PermitState {
  const entry = getEntry(state, index);
  return setEntry(state, index, { ...entry, sequence: entry.sequence + 1 });
}

/** Applies the current view at an entry. */
export function applyView(state: PermitState, index: number): PermitState {
  return setEntry(state, index, { ...getEntry(state, index), removed: state.removed });
}

/** Lets an entry give a permit to entry `to`, under the next version of the permit. */
export function sendPermit(
  state: PermitState,
  index: number,
  to: number,
  permit: number,
): PermitState {
  const entry = getEntry(state, index);
  const version = (entry.holdings[permit]?.version ?? 0) + 1;
  const holdings = entry.holdings.map((holding, position) =>
    position === permit ? { version, owner: to } : holding,
  );
  const message = { from: index, to, index: permit, version };
  const changed = setEntry(state, index, { ...entry, holdings });
  return { ...changed, messages: [...state.messages, message].sort(compareMessages) };
}

/** Makes the receiver of a message the owner of the permit. */
export function deliver(state: PermitState, message: Message): PermitState {
  const entry = getEntry(state, message.to);
  const holdings = entry.holdings.map((holding, position) =>
    position === message.index ? { version: message.version, owner: message.to } : holding,
  );
  return setEntry(state, message.to, { ...entry, holdings });
}

/** Records the report of entry `from` at entry `to`. */
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

/** Adds the records of an entry to the answers for the settlement. */
export function answerSettlement(state: PermitState, index: number): PermitState {
  const { holdings } = getEntry(state, index);
  const answers = state.settlementAnswers ?? {
    answered: 0,
    claimed: 0,
    newest: holdings.map(() => ({ version: 0, owner: UNOWNED })),
  };
  const newest = answers.newest.map((known, at) => {
    const own = holdings[at];
    return own !== undefined && own.version > known.version ? own : known;
  });
  const claimed = holdings.reduce(
    (set, holding, at) => (holding.owner === index ? set | (1 << at) : set),
    answers.claimed,
  );
  return {
    ...state,
    settlementAnswers: { answered: answers.answered | (1 << index), newest, claimed },
  };
}

function compareMessages(left: Message, right: Message): number {
  return JSON.stringify(left) < JSON.stringify(right) ? -1 : 1;
}

/** Gets an entry. Throws if there is none. */
export function getEntry(state: PermitState, index: number): PermitEntry {
  const entry = state.entries[index];
  if (entry === undefined) throw new Error(`entry ${index} does not exist`);
  return entry;
}

/** Replaces one entry. */
export function setEntry(state: PermitState, index: number, entry: PermitEntry): PermitState {
  return { ...state, entries: state.entries.map((other, at) => (at === index ? entry : other)) };
}

/** Counts the entries that have not been removed. */
export function countMembers(state: PermitState): number {
  return state.entries.filter((_, index) => !hasBit(state.removed, index)).length;
}
