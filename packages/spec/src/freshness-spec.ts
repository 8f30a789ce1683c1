import { hasBit } from './bits.ts';
import { Specification } from './explore.ts';
import {
  type EntryState,
  type FreshnessBounds,
  FreshnessFault,
  type FreshnessState,
  type FreshnessStep,
  WRITER,
  acknowledge,
  announce,
  commit,
  crash,
  createEntry,
  dropUnusedViews,
  advancePastBound,
  encodeEntry,
  getEntry,
  getView,
  hasMajority,
  promise,
  propose,
  readTable,
  startEntry,
  sendCommit,
  setEntry,
} from './freshness-state.ts';

/**
 * Specification of views, promises, announcements and the check before each start. Every read and
 * message may happen or not, which covers message loss, partitions and an unreachable table. It
 * also covers a paused process, because the check runs when the request is sent.
 * `advancePastBound` lets the freshness bound pass after the commit. Freshness renewed before the
 * commit has expired by then, so only answers after that step count. An entry that reads the table
 * after the commit sees the change.
 */
export class FreshnessSpecification extends Specification<FreshnessState, FreshnessStep> {
  readonly name: string;
  readonly #bounds: FreshnessBounds;
  readonly #fault: FreshnessFault;

  constructor(bounds: FreshnessBounds, fault: FreshnessFault) {
    super();
    this.#bounds = bounds;
    this.#fault = fault;
    this.name = `freshness (${fault})`;
  }

  get initial(): FreshnessState {
    const { entries, joiners } = this.#bounds;
    const members = (1 << entries) - 1;
    return {
      views: [
        { members: 0, sequence: 0 },
        { members, sequence: 0 },
      ],
      committedSequence: 0,
      commitAge: 0,
      entries: Array.from({ length: entries + joiners }, (_, index) =>
        createEntry(index < entries ? 1 : 0, index < entries),
      ),
      proposal: undefined,
      writeEpoch: 0,
      acknowledgements: 0,
      inFlightEpoch: 0,
      crashes: 0,
    };
  }

  listSteps(state: FreshnessState): FreshnessStep[] {
    return [
      ...(state.commitAge === 1
        ? [{ type: 'freshness bound passes', apply: advancePastBound }]
        : []),
      ...this.#listWriterSteps(state),
      ...this.#listViewChangeSteps(state),
      ...state.entries.flatMap((entry, index) =>
        entry.isAlive ? this.#listEntrySteps(state, index) : this.#listJoinSteps(state, index),
      ),
    ];
  }

  apply(state: FreshnessState, step: FreshnessStep): FreshnessState {
    return dropUnusedViews(step.apply(state));
  }

  encode(state: FreshnessState): string {
    const { proposal } = state;
    const views = state.views.map((view) => `${view.members}.${view.sequence}`);
    const encodedProposal =
      proposal && `${proposal.epoch}.${proposal.members}.${proposal.promises}`;
    const scalars = [
      state.committedSequence,
      state.commitAge,
      state.writeEpoch,
      state.acknowledgements,
      state.inFlightEpoch,
      state.crashes,
    ];
    return [
      ...views,
      encodedProposal,
      ...scalars,
      ...state.entries.map((entry) => encodeEntry(entry)),
    ].join('|');
  }

  findViolation(state: FreshnessState): string | undefined {
    if (state.commitAge < 2) return undefined;
    const stale = state.entries.findIndex(
      (entry) => entry.isAlive && entry.sequence === 0 && this.#canStart(entry),
    );
    if (stale < 0) return undefined;
    return `entry ${stale} can start work that the change forbids after the freshness bound`;
  }

  #canStart(entry: EntryState): boolean {
    const isIgnored = this.#fault === FreshnessFault.IgnoreAnnouncements;
    return entry.isFresh && (entry.announcedEpoch === 0 || isIgnored);
  }

  #listWriterSteps(state: FreshnessState): FreshnessStep[] {
    const steps: FreshnessStep[] = [];
    const writer = state.entries[WRITER];
    const epoch = state.views.length - 1;
    const isMember = hasBit(getView(state, epoch).members, WRITER);
    if (
      writer?.isAlive === true &&
      isMember &&
      writer.epoch === epoch &&
      state.committedSequence === 0
    ) {
      if (state.writeEpoch < epoch && state.inFlightEpoch < epoch)
        steps.push({ type: 'the writer announces the change', apply: announce });
    }
    if (state.writeEpoch > 0 && state.inFlightEpoch === 0 && this.#canSendCommit(state)) {
      steps.push({ type: 'the writer sends the commit', apply: sendCommit });
    }
    const isCurrent =
      state.inFlightEpoch === epoch || this.#fault === FreshnessFault.CommitOnAnyEpoch;
    if (state.inFlightEpoch > 0 && isCurrent)
      steps.push({ type: 'the table commits the change', apply: commit });
    return steps;
  }

  #canSendCommit(state: FreshnessState): boolean {
    if (this.#fault === FreshnessFault.SkipAnnouncement) return true;
    if (this.#fault === FreshnessFault.AnnounceToMinority) return state.acknowledgements !== 0;
    return hasMajority(getView(state, state.writeEpoch).members, state.acknowledgements);
  }

  #listViewChangeSteps(state: FreshnessState): FreshnessStep[] {
    const { proposal } = state;
    const epoch = state.views.length - 1;
    if (proposal?.epoch !== epoch) return [];
    const { members } = getView(state, epoch);
    const isJoin = (proposal.members & ~members) !== 0;
    const isPromiseOmitted =
      this.#fault ===
      (isJoin ? FreshnessFault.JoinWithoutPromise : FreshnessFault.DeclareWithoutPromise);
    if (!isPromiseOmitted && !hasMajority(members, proposal.promises)) return [];
    return [
      { type: 'the view changes', apply: (before) => this.#changeView(before, proposal.members) },
    ];
  }

  #listEntrySteps(state: FreshnessState, index: number): FreshnessStep[] {
    const steps: FreshnessStep[] = [];
    const epoch = state.views.length - 1;
    const { members } = getView(state, epoch);
    if (hasBit(members, index)) {
      steps.push({
        type: `entry ${index} reads the table`,
        apply: (before) => readTable(before, index),
      });
      steps.push(...this.#listProposals(state, index, epoch));
    }
    if (state.crashes < this.#bounds.crashes) {
      steps.push({ type: `entry ${index} crashes`, apply: (before) => crash(before, index) });
    }
    for (const other of state.entries.keys()) {
      if (other === index || state.entries[other]?.isAlive !== true) continue;
      steps.push({
        type: `entry ${index} asks entry ${other}`,
        apply: (before) => this.#ask(before, index, other),
      });
    }
    steps.push(...this.#listAnswers(state, index));
    return steps;
  }

  /** Lists the promises and acknowledgements that an entry can give. */
  #listAnswers(state: FreshnessState, index: number): FreshnessStep[] {
    const steps: FreshnessStep[] = [];
    const entry = getEntry(state, index);
    const { proposal, writeEpoch } = state;
    if (
      proposal !== undefined &&
      entry.epoch <= proposal.epoch &&
      !hasBit(proposal.promises, index)
    ) {
      steps.push({ type: `entry ${index} promises`, apply: (before) => promise(before, index) });
    }
    const hasAnnouncement = writeEpoch > 0 && entry.epoch === writeEpoch;
    if (hasAnnouncement && !hasBit(state.acknowledgements, index)) {
      steps.push({
        type: `entry ${index} acknowledges`,
        apply: (before) => acknowledge(before, index),
      });
    }
    return steps;
  }

  /** Lists the proposals of a member, under the view it has just read, to remove another member. */
  #listProposals(state: FreshnessState, index: number, epoch: number): FreshnessStep[] {
    if (state.proposal?.epoch === epoch || epoch > this.#bounds.moves) return [];
    const { members } = getView(state, epoch);
    return [...state.entries.keys()]
      .filter((other) => other !== index && hasBit(members, other))
      .map((other) => ({
        type: `entry ${index} proposes to remove entry ${other}`,
        apply: (before) => propose(before, members & ~(1 << other)),
      }));
  }

  /** Lists how a stopped process starts: as a member again, or as a joiner that proposes itself. */
  #listJoinSteps(state: FreshnessState, index: number): FreshnessStep[] {
    const epoch = state.views.length - 1;
    if (epoch > this.#bounds.moves) return [];
    const { members } = getView(state, epoch);
    if (hasBit(members, index)) {
      return [
        {
          type: `entry ${index} restarts as a member`,
          apply: (before) => startEntry(this.#changeView(before, members), index, epoch + 1),
        },
      ];
    }
    const isJoiner = index >= this.#bounds.entries;
    if (!isJoiner || state.proposal?.epoch === epoch) return [];
    return [
      {
        type: `entry ${index} proposes to join`,
        apply: (before) => propose(before, members | (1 << index)),
      },
    ];
  }

  /** Makes a new view with `members`. A joiner starts with the view that adds it. */
  #changeView(state: FreshnessState, members: number): FreshnessState {
    const isSequenceOmitted = this.#fault === FreshnessFault.MoveWithoutSequence;
    const view = { members, sequence: isSequenceOmitted ? 0 : state.committedSequence };
    const changed = { ...state, views: [...state.views, view], proposal: undefined };
    const previous = getView(state, state.views.length - 1).members;
    const joiner = state.entries.findIndex((_, index) => hasBit(members & ~previous, index));
    return joiner < 0 ? changed : startEntry(changed, joiner, state.views.length);
  }

  /**
   * Lets entry `index` ask entry `other` and adopt its view, change and announcement where newer.
   * The answer counts as a confirmation if `other` can confirm the resulting view.
   */
  #ask(state: FreshnessState, index: number, other: number): FreshnessState {
    const asker = getEntry(state, index);
    const answerer = getEntry(state, other);
    const learned: EntryState = {
      ...asker,
      epoch: Math.max(asker.epoch, answerer.epoch),
      confirmations: asker.epoch < answerer.epoch ? 0 : asker.confirmations,
      sequence: Math.max(asker.sequence, answerer.sequence),
      announcedEpoch: Math.max(asker.announcedEpoch, answerer.announcedEpoch),
    };
    if (answerer.epoch !== learned.epoch || !this.#canConfirm(state, answerer, other)) {
      return setEntry(state, index, learned);
    }
    const { members, sequence } = getView(state, learned.epoch);
    const isCounted =
      state.commitAge === 2 && hasBit(members, index) && learned.sequence >= sequence;
    if (!isCounted) return setEntry(state, index, learned);
    const own = this.#canConfirm(state, learned, index) ? 1 << index : 0;
    const confirmations = learned.confirmations | (1 << other) | own;
    const isFresh = learned.isFresh || hasMajority(members, confirmations);
    return setEntry(state, index, { ...learned, confirmations, isFresh });
  }

  /** Whether an entry can confirm the state of others under its view. */
  #canConfirm(state: FreshnessState, entry: EntryState, index: number): boolean {
    const { members, sequence } = getView(state, entry.epoch);
    const hasPromised =
      entry.promisedEpoch >= entry.epoch && this.#fault !== FreshnessFault.ConfirmAfterPromise;
    return hasBit(members, index) && entry.sequence >= sequence && !hasPromised;
  }
}
