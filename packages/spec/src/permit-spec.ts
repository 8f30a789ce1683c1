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
  answerSettlement,
  applyView,
  configure,
  countMembers,
  deliver,
  getEntry,
  sendPermit,
  hasQuarantineEnded,
  receiveReport,
  setEntry,
} from './permit-state.ts';

/**
 * Specification of permits: their transfer, their settlement and lowered limits. In a settlement
 * one entry takes over the permits of removed entries. The freshness specification guarantees that
 * a removed entry starts no work once the freshness bound has passed. Here this is the step that
 * sets `isFenced`, which can happen at any time after the removal.
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
      settlementAnswers: undefined,
      losses: 0,
      violation: undefined,
    };
  }

  listSteps(state: PermitState): PermitStep[] {
    const steps: PermitStep[] = [];
    if (state.sequence + 1 < this.#bounds.limits.length) {
      steps.push({ type: 'the limit changes', apply: (s) => ({ ...s, sequence: s.sequence + 1 }) });
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
      steps.push({ type: `work ends at entry ${index}`, apply: (s) => this.#end(s, index) });
    }
    if (hasBit(state.removed, index) && !entry.isFenced) {
      steps.push({
        type: `freshness bound passes at entry ${index}`,
        apply: (s) => setEntry(s, index, { ...getEntry(s, index), isFenced: true }),
      });
    }
    if (!entry.isAlive) return [...steps, ...this.#listLoss(state, index)];
    if (!entry.isFenced && this.#canStart(state, index)) {
      steps.push({ type: `entry ${index} starts work`, apply: (s) => this.#start(s, index) });
    }
    if (entry.sequence < state.sequence) {
      steps.push({
        type: `entry ${index} applies the next limit`,
        apply: (s) => configure(s, index),
      });
    }
    if (entry.removed !== state.removed && !hasBit(state.removed, index)) {
      steps.push({ type: `entry ${index} applies the view`, apply: (s) => applyView(s, index) });
    }
    steps.push(...this.#listLoss(state, index), ...this.#listTransfers(state, index));
    steps.push(...this.#listReports(state, index));
    return steps;
  }

  /** Lists the loss of an entry: a crash, or a declaration of death whether or not it crashed. */
  #listLoss(state: PermitState, index: number): PermitStep[] {
    const steps: PermitStep[] = [];
    const entry = getEntry(state, index);
    if (entry.isAlive && state.losses < this.#bounds.losses) {
      steps.push({
        type: `entry ${index} crashes`,
        apply: (s) => ({
          ...setEntry(s, index, { ...getEntry(s, index), isAlive: false }),
          losses: s.losses + 1,
        }),
      });
    }
    const isLast = countMembers(state) === 1;
    const canDeclare = !entry.isAlive || state.losses < this.#bounds.losses;
    if (!hasBit(state.removed, index) && !isLast && canDeclare) {
      steps.push({
        type: `entry ${index} is declared dead`,
        apply: (s) => ({
          ...s,
          removed: s.removed | (1 << index),
          settlementAnswers: undefined,
          losses: entry.isAlive ? s.losses + 1 : s.losses,
        }),
      });
    }
    return steps;
  }

  #listTransfers(state: PermitState, index: number): PermitStep[] {
    if (state.messages.length >= this.#bounds.transfers) return [];
    const entry = getEntry(state, index);
    const canGive =
      this.#countFree(entry, index) > 0 || this.#fault === PermitFault.GiveUsedPermits;
    if (!canGive) return [];
    const limit = this.#getLimit(entry.sequence);
    const steps: PermitStep[] = [];
    entry.holdings.forEach((holding, at) => {
      if (holding.owner !== index || at >= limit) return;
      for (const to of state.entries.keys()) {
        if (to === index || hasBit(entry.removed, to)) continue;
        steps.push({
          type: `entry ${index} gives entry ${to} permit ${at}`,
          apply: (s) => sendPermit(s, index, to, at),
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
        type: `entry ${index} reports to entry ${to}`,
        apply: (s) => receiveReport(s, index, to, report),
      }));
  }

  #listDelivery(state: PermitState, message: Message): PermitStep[] {
    const receiver = getEntry(state, message.to);
    if (!receiver.isAlive) return [];
    const isRefused =
      hasBit(receiver.removed, message.from) && this.#fault !== PermitFault.AcceptFromRemoved;
    const known = receiver.holdings[message.index]?.version ?? 0;
    const isOutdated = known >= message.version && this.#fault !== PermitFault.ReceiveOlderVersions;
    if (isRefused || isOutdated) return [];
    const type = `transfer from entry ${message.from} to entry ${message.to} arrives: permit ${message.index} v${message.version}`;
    return [{ type, apply: (s) => deliver(s, message) }];
  }

  /**
   * Lists the steps of a settlement. Each member that has applied the current view answers; then
   * the first member takes over the permits whose owner is removed or unknown.
   */
  #listSettlement(state: PermitState): PermitStep[] {
    const steps: PermitStep[] = [];
    for (const [index, entry] of state.entries.entries()) {
      const isCurrent = entry.isAlive && entry.removed === state.removed;
      if (!isCurrent || hasBit(state.removed, index)) continue;
      const answered = state.settlementAnswers?.answered ?? 0;
      if (state.removed === 0 || hasBit(answered, index)) continue;
      steps.push({
        type: `entry ${index} answers for the settlement`,
        apply: (s) => answerSettlement(s, index),
      });
    }
    const settler = [...state.entries.keys()].find((index) => !hasBit(state.removed, index));
    if (settler !== undefined && this.#canSettle(state)) {
      steps.push({ type: `entry ${settler} settles`, apply: (s) => this.#settle(s, settler) });
    }
    return steps;
  }

  #canSettle(state: PermitState): boolean {
    const { settlementAnswers } = state;
    if (settlementAnswers === undefined) return false;
    const members = [...state.entries.keys()].filter((index) => !hasBit(state.removed, index));
    if (!members.every((index) => hasBit(settlementAnswers.answered, index))) return false;
    return this.#fault === PermitFault.SettleBeforeWorkEnds || hasQuarantineEnded(state);
  }

  #settle(state: PermitState, settler: number): PermitState {
    const { settlementAnswers } = state;
    if (settlementAnswers === undefined) return state;
    const entry = getEntry(state, settler);
    const limit = this.#getLimit(entry.sequence);
    const holdings = entry.holdings.map((holding, at) => {
      const newest = settlementAnswers.newest[at] ?? { version: 0, owner: UNOWNED };
      const isOwned =
        this.#fault === PermitFault.SettleByClaims
          ? hasBit(settlementAnswers.claimed, at)
          : newest.owner !== UNOWNED && !hasBit(state.removed, newest.owner);
      if (isOwned || at >= limit || newest.version < holding.version) return holding;
      return { version: newest.version + 1, owner: settler };
    });
    return { ...setEntry(state, settler, { ...entry, holdings }), settlementAnswers: undefined };
  }

  #canStart(state: PermitState, index: number): boolean {
    const entry = getEntry(state, index);
    if (this.#countFree(entry, index) === 0) return false;
    const loweredAt = this.#findLowering(entry.sequence);
    if (loweredAt === undefined || this.#fault === PermitFault.StartDuringLowering) return true;
    if (entry.removed !== 0 && !hasQuarantineEnded(state)) return false;
    return entry.reports.every(
      (report, other) =>
        other === index ||
        hasBit(entry.removed, other) ||
        (report.sequence >= loweredAt && !report.hasOverhang),
    );
  }

  #start(state: PermitState, index: number): PermitState {
    const entry = getEntry(state, index);
    const next = setEntry(state, index, { ...entry, running: entry.running + 1 });
    const total = next.entries.reduce((sum, other) => sum + other.running, 0);
    const limits = this.#bounds.limits.slice(entry.sequence, state.sequence + 1);
    if (total <= Math.max(...limits)) return next;
    return {
      ...next,
      violation: `entry ${index} started work: ${total} running, limit ${Math.max(...limits)}`,
    };
  }

  #end(state: PermitState, index: number): PermitState {
    const entry = getEntry(state, index);
    return setEntry(state, index, { ...entry, running: entry.running - 1 });
  }

  /** Counts the usable permits of an entry that no running work uses. */
  #countFree(entry: PermitEntry, index: number): number {
    return Math.max(0, this.#countHeld(entry, index) - entry.running);
  }

  /** Counts the permits of an entry that are usable under its limit. */
  #countHeld(entry: PermitEntry, index: number): number {
    const limit = this.#getLimit(entry.sequence);
    return entry.holdings.filter((holding, at) => holding.owner === index && at < limit).length;
  }

  #getLimit(sequence: number): number {
    return this.#bounds.limits[sequence] ?? 0;
  }

  /** Finds the sequence of the newest change, up to `sequence`, that lowered the limit. */
  #findLowering(sequence: number): number | undefined {
    for (let at = sequence; at > 0; at -= 1) {
      if (this.#getLimit(at) < this.#getLimit(at - 1)) return at;
    }
    return undefined;
  }
}
