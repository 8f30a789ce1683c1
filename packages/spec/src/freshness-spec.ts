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
  elapse,
  encodeEntry,
  getEntry,
  getView,
  hasMajority,
  promise,
  propose,
  read,
  revive,
  sendCommit,
  setEntry,
} from './freshness-state.ts';

/**
 * Views, promises, announcements and the start gate. Reads and messages simply may or may not
 * happen, which covers loss, partitions and an absent table; a pause is the same, since the gate
 * is asked at the moment of sending. `elapse` lets the freshness bound pass after the commit. What
 * was renewed before then has run out by then, so only answers after it count; an own read after
 * the commit finds the change.
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
      committed: 0,
      age: 0,
      entries: Array.from({ length: entries + joiners }, (_, index) =>
        createEntry(index < entries ? 1 : 0, index < entries),
      ),
      proposal: undefined,
      writeEpoch: 0,
      acknowledged: 0,
      inFlight: 0,
      crashes: 0,
    };
  }

  listSteps(state: FreshnessState): FreshnessStep[] {
    return [
      ...(state.age === 1 ? [{ type: 'elapse', apply: elapse }] : []),
      ...this.#listWriterSteps(state),
      ...this.#listMoveSteps(state),
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
    const move = proposal && `${proposal.epoch}.${proposal.members}.${proposal.promises}`;
    const scalars = [
      state.committed,
      state.age,
      state.writeEpoch,
      state.acknowledged,
      state.inFlight,
      state.crashes,
    ];
    return [...views, move, ...scalars, ...state.entries.map((entry) => encodeEntry(entry))].join(
      '|',
    );
  }

  findViolation(state: FreshnessState): string | undefined {
    if (state.age < 2) return undefined;
    const ignorant = state.entries.findIndex(
      (entry) => entry.isAlive && entry.sequence === 0 && this.#canStart(entry),
    );
    if (ignorant < 0) return undefined;
    return `entry ${ignorant} may start what the change forbids after the bound`;
  }

  #canStart(entry: EntryState): boolean {
    const ignores = this.#fault === FreshnessFault.IgnoreAnnouncements;
    return entry.isVouchedFor && (entry.announced === 0 || ignores);
  }

  #listWriterSteps(state: FreshnessState): FreshnessStep[] {
    const steps: FreshnessStep[] = [];
    const writer = state.entries[WRITER];
    const epoch = state.views.length - 1;
    const isSeated = hasBit(getView(state, epoch).members, WRITER);
    if (writer?.isAlive === true && isSeated && writer.epoch === epoch && state.committed === 0) {
      if (state.writeEpoch < epoch && state.inFlight < epoch)
        steps.push({ type: 'announce', apply: announce });
    }
    if (state.writeEpoch > 0 && state.inFlight === 0 && this.#hasAnnounced(state)) {
      steps.push({ type: 'send commit', apply: sendCommit });
    }
    const isCurrent = state.inFlight === epoch || this.#fault === FreshnessFault.CommitOnAnyEpoch;
    if (state.inFlight > 0 && isCurrent) steps.push({ type: 'commit', apply: commit });
    return steps;
  }

  #hasAnnounced(state: FreshnessState): boolean {
    if (this.#fault === FreshnessFault.SkipAnnouncement) return true;
    if (this.#fault === FreshnessFault.AnnounceToMinority) return state.acknowledged !== 0;
    return hasMajority(getView(state, state.writeEpoch).members, state.acknowledged);
  }

  #listMoveSteps(state: FreshnessState): FreshnessStep[] {
    const { proposal } = state;
    const epoch = state.views.length - 1;
    if (proposal?.epoch !== epoch) return [];
    const { members } = getView(state, epoch);
    const isJoin = (proposal.members & ~members) !== 0;
    const isExcused =
      this.#fault ===
      (isJoin ? FreshnessFault.JoinWithoutPromise : FreshnessFault.DeclareWithoutPromise);
    if (!isExcused && !hasMajority(members, proposal.promises)) return [];
    return [{ type: 'move view', apply: (before) => this.#move(before, proposal.members) }];
  }

  #listEntrySteps(state: FreshnessState, index: number): FreshnessStep[] {
    const steps: FreshnessStep[] = [];
    const epoch = state.views.length - 1;
    const { members } = getView(state, epoch);
    if (hasBit(members, index)) {
      steps.push({ type: `read ${index}`, apply: (before) => read(before, index) });
      steps.push(...this.#listProposals(state, index, epoch));
    }
    if (state.crashes < this.#bounds.crashes) {
      steps.push({ type: `crash ${index}`, apply: (before) => crash(before, index) });
    }
    for (const other of state.entries.keys()) {
      if (other === index || state.entries[other]?.isAlive !== true) continue;
      steps.push({
        type: `ask ${index} ${other}`,
        apply: (before) => this.#ask(before, index, other),
      });
    }
    steps.push(...this.#listAnswers(state, index));
    return steps;
  }

  /** Promises and acknowledgements that an entry may give. */
  #listAnswers(state: FreshnessState, index: number): FreshnessStep[] {
    const steps: FreshnessStep[] = [];
    const entry = getEntry(state, index);
    const { proposal, writeEpoch } = state;
    if (
      proposal !== undefined &&
      entry.epoch <= proposal.epoch &&
      !hasBit(proposal.promises, index)
    ) {
      steps.push({ type: `promise ${index}`, apply: (before) => promise(before, index) });
    }
    const isAsked = writeEpoch > 0 && entry.epoch === writeEpoch;
    if (isAsked && !hasBit(state.acknowledged, index)) {
      steps.push({ type: `acknowledge ${index}`, apply: (before) => acknowledge(before, index) });
    }
    return steps;
  }

  /** A member that has just read the view may propose to take another's seat away. */
  #listProposals(state: FreshnessState, index: number, epoch: number): FreshnessStep[] {
    if (state.proposal?.epoch === epoch || epoch > this.#bounds.moves) return [];
    const { members } = getView(state, epoch);
    return [...state.entries.keys()]
      .filter((other) => other !== index && hasBit(members, other))
      .map((other) => ({
        type: `propose ${index} without ${other}`,
        apply: (before) => propose(before, members & ~(1 << other)),
      }));
  }

  /** A process that is down comes back: on its old seat, or as a joiner that proposes itself. */
  #listJoinSteps(state: FreshnessState, index: number): FreshnessStep[] {
    const epoch = state.views.length - 1;
    if (epoch > this.#bounds.moves) return [];
    const { members } = getView(state, epoch);
    if (hasBit(members, index)) {
      return [
        {
          type: `supersede ${index}`,
          apply: (before) => revive(this.#move(before, members), index, epoch + 1),
        },
      ];
    }
    const isJoiner = index >= this.#bounds.entries;
    if (!isJoiner || state.proposal?.epoch === epoch) return [];
    return [
      {
        type: `propose joining ${index}`,
        apply: (before) => propose(before, members | (1 << index)),
      },
    ];
  }

  /** A joiner comes alive with the move that seats it. */
  #move(state: FreshnessState, members: number): FreshnessState {
    const isUnrecorded = this.#fault === FreshnessFault.MoveWithoutSequence;
    const view = { members, sequence: isUnrecorded ? 0 : state.committed };
    const moved = { ...state, views: [...state.views, view], proposal: undefined };
    const previous = getView(state, state.views.length - 1).members;
    const joiner = state.entries.findIndex((_, index) => hasBit(members & ~previous, index));
    return joiner < 0 ? moved : revive(moved, joiner, state.views.length);
  }

  /** `index` asks `other`, and takes over its view, its change and its announcement. */
  #ask(state: FreshnessState, index: number, other: number): FreshnessState {
    const asker = getEntry(state, index);
    const answerer = getEntry(state, other);
    const learned: EntryState = {
      ...asker,
      epoch: Math.max(asker.epoch, answerer.epoch),
      vouchers: asker.epoch < answerer.epoch ? 0 : asker.vouchers,
      sequence: Math.max(asker.sequence, answerer.sequence),
      announced: Math.max(asker.announced, answerer.announced),
    };
    if (answerer.epoch !== learned.epoch || !this.#canVouch(state, answerer, other)) {
      return setEntry(state, index, learned);
    }
    const { members, sequence } = getView(state, learned.epoch);
    const isCounted = state.age === 2 && hasBit(members, index) && learned.sequence >= sequence;
    if (!isCounted) return setEntry(state, index, learned);
    const own = this.#canVouch(state, learned, index) ? 1 << index : 0;
    const vouchers = learned.vouchers | (1 << other) | own;
    const isVouchedFor = learned.isVouchedFor || hasMajority(members, vouchers);
    return setEntry(state, index, { ...learned, vouchers, isVouchedFor });
  }

  #canVouch(state: FreshnessState, entry: EntryState, index: number): boolean {
    const { members, sequence } = getView(state, entry.epoch);
    const hasPromised =
      entry.promised >= entry.epoch && this.#fault !== FreshnessFault.VouchAfterPromise;
    return hasBit(members, index) && entry.sequence >= sequence && !hasPromised;
  }
}
