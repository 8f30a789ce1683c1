import { hasBit } from './bits.ts';
import { Specification } from './explore.ts';
import {
  type Message,
  type PermitBounds,
  type PermitEntry,
  PermitFault,
  type PermitState,
  type PermitStep,
  UNOWNED,
  answer,
  applyView,
  configure,
  countIn,
  deliver,
  getEntry,
  give,
  hasQuarantineEnded,
  receiveReport,
  setEntry,
} from './permit-state.ts';

/**
 * Permits, their hand-over, settlement and lowered limits. That a removed entry stops starting
 * once the bound has passed is the guarantee of the freshness specification; here it is the step
 * `fence`, which may come at any later time.
 */
export class PermitSpecification extends Specification<PermitState, PermitStep> {
  readonly name: string;
  readonly #bounds: PermitBounds;
  readonly #fault: PermitFault;

  constructor(bounds: PermitBounds, fault: PermitFault) {
    super();
    this.#bounds = bounds;
    this.#fault = fault;
    this.name = `permits (${fault})`;
  }

  get initial(): PermitState {
    const { entries } = this.#bounds;
    const count = Math.max(...this.#bounds.limits);
    return {
      entries: Array.from({ length: entries }, (_, index) => ({
        isAlive: true,
        isFenced: false,
        sequence: 0,
        holdings: Array.from({ length: count }, (_permit, at) => ({
          version: at % entries === index ? 1 : 0,
          owner: at % entries === index ? index : UNOWNED,
        })),
        running: 0,
        removed: 0,
        reports: Array.from({ length: entries }, () => ({ sequence: 0, hasOverhang: false })),
      })),
      removed: 0,
      sequence: 0,
      messages: [],
      gathering: undefined,
      losses: 0,
      violation: undefined,
    };
  }

  listSteps(state: PermitState): PermitStep[] {
    const steps: PermitStep[] = [];
    if (state.sequence + 1 < this.#bounds.limits.length) {
      steps.push({ type: 'change limit', apply: (s) => ({ ...s, sequence: s.sequence + 1 }) });
    }
    for (const index of state.entries.keys()) steps.push(...this.#listEntrySteps(state, index));
    for (const message of state.messages) steps.push(...this.#listDelivery(state, message));
    steps.push(...this.#listSettlement(state));
    return steps;
  }

  apply(state: PermitState, step: PermitStep): PermitState {
    return step.apply(state);
  }

  encode(state: PermitState): string {
    return JSON.stringify(state);
  }

  findViolation(state: PermitState): string | undefined {
    return state.violation;
  }

  #listEntrySteps(state: PermitState, index: number): PermitStep[] {
    const entry = getEntry(state, index);
    const steps: PermitStep[] = [];
    if (entry.running > 0) {
      steps.push({ type: `end ${index}`, apply: (s) => this.#end(s, index) });
    }
    if (hasBit(state.removed, index) && !entry.isFenced) {
      steps.push({
        type: `fence ${index}`,
        apply: (s) => setEntry(s, index, { ...getEntry(s, index), isFenced: true }),
      });
    }
    if (!entry.isAlive) return [...steps, ...this.#listLoss(state, index)];
    if (!entry.isFenced && this.#canStart(state, index)) {
      steps.push({ type: `start ${index}`, apply: (s) => this.#start(s, index) });
    }
    if (entry.sequence < state.sequence) {
      steps.push({ type: `configure ${index}`, apply: (s) => configure(s, index) });
    }
    if (entry.removed !== state.removed && !hasBit(state.removed, index)) {
      steps.push({ type: `learn view ${index}`, apply: (s) => applyView(s, index) });
    }
    steps.push(...this.#listLoss(state, index), ...this.#listGifts(state, index));
    steps.push(...this.#listReports(state, index));
    return steps;
  }

  /** An entry may crash, and may be declared dead whether it has or not. */
  #listLoss(state: PermitState, index: number): PermitStep[] {
    const steps: PermitStep[] = [];
    const entry = getEntry(state, index);
    if (entry.isAlive && state.losses < this.#bounds.losses) {
      steps.push({
        type: `crash ${index}`,
        apply: (s) => ({
          ...setEntry(s, index, { ...getEntry(s, index), isAlive: false }),
          losses: s.losses + 1,
        }),
      });
    }
    const isLast = countIn(state) === 1;
    const mayDeclare = !entry.isAlive || state.losses < this.#bounds.losses;
    if (!hasBit(state.removed, index) && !isLast && mayDeclare) {
      steps.push({
        type: `declare ${index}`,
        apply: (s) => ({
          ...s,
          removed: s.removed | (1 << index),
          gathering: undefined,
          losses: entry.isAlive ? s.losses + 1 : s.losses,
        }),
      });
    }
    return steps;
  }

  #listGifts(state: PermitState, index: number): PermitStep[] {
    if (state.messages.length >= this.#bounds.transfers) return [];
    const entry = getEntry(state, index);
    const mayGive =
      this.#countFree(entry, index) > 0 || this.#fault === PermitFault.GiveUsedPermits;
    if (!mayGive) return [];
    const limit = this.#getLimit(entry.sequence);
    const steps: PermitStep[] = [];
    entry.holdings.forEach((holding, at) => {
      if (holding.owner !== index || at >= limit) return;
      for (const to of state.entries.keys()) {
        if (to === index || hasBit(entry.removed, to)) continue;
        steps.push({
          type: `give ${index} ${to} permit ${at}`,
          apply: (s) => give(s, index, to, at),
        });
      }
    });
    return steps;
  }

  #listReports(state: PermitState, index: number): PermitStep[] {
    if (this.#bounds.limits.length === 1) return [];
    const entry = getEntry(state, index);
    const hasOverhang = entry.running > this.#countHeld(entry, index);
    const report = { sequence: entry.sequence, hasOverhang };
    return [...state.entries.keys()]
      .filter((to) => to !== index && getEntry(state, to).isAlive)
      .map((to) => ({
        type: `report ${index} ${to}`,
        apply: (s) => receiveReport(s, index, to, report),
      }));
  }

  #listDelivery(state: PermitState, message: Message): PermitStep[] {
    const receiver = getEntry(state, message.to);
    if (!receiver.isAlive) return [];
    const isRefused =
      hasBit(receiver.removed, message.from) && this.#fault !== PermitFault.AcceptFromRemoved;
    const known = receiver.holdings[message.index]?.version ?? 0;
    const isOld = known >= message.version && this.#fault !== PermitFault.ReceiveOlderVersions;
    if (isRefused || isOld) return [];
    const type = `deliver ${message.from} ${message.to} permit ${message.index} v${message.version}`;
    return [{ type, apply: (s) => deliver(s, message) }];
  }

  /** The settler gathers an answer of each member under the present view, then takes over. */
  #listSettlement(state: PermitState): PermitStep[] {
    const steps: PermitStep[] = [];
    for (const [index, entry] of state.entries.entries()) {
      const isCurrent = entry.isAlive && entry.removed === state.removed;
      if (!isCurrent || hasBit(state.removed, index)) continue;
      const answered = state.gathering?.answered ?? 0;
      if (state.removed === 0 || hasBit(answered, index)) continue;
      steps.push({ type: `answer ${index}`, apply: (s) => answer(s, index) });
    }
    const settler = [...state.entries.keys()].find((index) => !hasBit(state.removed, index));
    if (settler !== undefined && this.#canSettle(state)) {
      steps.push({ type: `settle ${settler}`, apply: (s) => this.#settle(s, settler) });
    }
    return steps;
  }

  #canSettle(state: PermitState): boolean {
    const { gathering } = state;
    if (gathering === undefined) return false;
    const members = [...state.entries.keys()].filter((index) => !hasBit(state.removed, index));
    if (!members.every((index) => hasBit(gathering.answered, index))) return false;
    return this.#fault === PermitFault.SettleBeforeWorkEnds || hasQuarantineEnded(state);
  }

  #settle(state: PermitState, settler: number): PermitState {
    const { gathering } = state;
    if (gathering === undefined) return state;
    const entry = getEntry(state, settler);
    const limit = this.#getLimit(entry.sequence);
    const holdings = entry.holdings.map((holding, at) => {
      const newest = gathering.newest[at] ?? { version: 0, owner: UNOWNED };
      const isOwned =
        this.#fault === PermitFault.SettleByClaims
          ? hasBit(gathering.claimed, at)
          : newest.owner !== UNOWNED && !hasBit(state.removed, newest.owner);
      if (isOwned || at >= limit || newest.version < holding.version) return holding;
      return { version: newest.version + 1, owner: settler };
    });
    return { ...setEntry(state, settler, { ...entry, holdings }), gathering: undefined };
  }

  #canStart(state: PermitState, index: number): boolean {
    const entry = getEntry(state, index);
    if (this.#countFree(entry, index) === 0) return false;
    const lowered = this.#findLowering(entry.sequence);
    if (lowered === undefined || this.#fault === PermitFault.StartDuringLowering) return true;
    if (entry.removed !== 0 && !hasQuarantineEnded(state)) return false;
    return entry.reports.every(
      (report, other) =>
        other === index ||
        hasBit(entry.removed, other) ||
        (report.sequence >= lowered && !report.hasOverhang),
    );
  }

  #start(state: PermitState, index: number): PermitState {
    const entry = getEntry(state, index);
    const next = setEntry(state, index, { ...entry, running: entry.running + 1 });
    const total = next.entries.reduce((sum, other) => sum + other.running, 0);
    const limits = this.#bounds.limits.slice(entry.sequence, state.sequence + 1);
    if (total <= Math.max(...limits)) return next;
    return { ...next, violation: `entry ${index} started work ${total} of ${Math.max(...limits)}` };
  }

  #end(state: PermitState, index: number): PermitState {
    const entry = getEntry(state, index);
    return setEntry(state, index, { ...entry, running: entry.running - 1 });
  }

  #countFree(entry: PermitEntry, index: number): number {
    return Math.max(0, this.#countHeld(entry, index) - entry.running);
  }

  #countHeld(entry: PermitEntry, index: number): number {
    const limit = this.#getLimit(entry.sequence);
    return entry.holdings.filter((holding, at) => holding.owner === index && at < limit).length;
  }

  #getLimit(sequence: number): number {
    return this.#bounds.limits[sequence] ?? 0;
  }

  /** Finds the newest change up to `sequence` that lowered the limit. */
  #findLowering(sequence: number): number | undefined {
    for (let at = sequence; at > 0; at -= 1) {
      if (this.#getLimit(at) < this.#getLimit(at - 1)) return at;
    }
    return undefined;
  }
}
