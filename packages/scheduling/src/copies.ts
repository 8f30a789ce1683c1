import type { Step } from '@currantgap/model';

/** Part of a step's tasks that end sooner than one that counts as a straggler. */
export const STRAGGLER_QUANTILE = 0.95;

/** Milliseconds for which a run is left alone, however short its tasks usually are. */
const MINIMUM_ELAPSED_MS = 500;
/** Multiple of the quantile from which a run counts as hung, whatever progress it reports. */
const HUNG_FACTOR = 3;
/** Percent of progress at which a task is complete. */
const COMPLETE_PERCENT = 100;
/** Share of a pool's starts that may be copies. */
const COPY_SHARE = 0.1;
/** Milliseconds of starts that the budget of copies looks back on. */
const BUDGET_WINDOW_MS = 60_000;
/** Parts of the window; the budget forgets one after the other. */
const BUDGET_SLOTS = 12;

/** What is known about a run of a task. */
export interface RunProgress {
  readonly elapsedMs: number;
  /** Time from the start of the run to the last report of its target. */
  readonly reportedMs: number;
  /** Progress at the last report, 0 to 100. */
  readonly percent: number;
  /** Whether the target has not answered since. */
  readonly isSilent: boolean;
  /** Duration that all but a few tasks of the step stay below. */
  readonly quantileMs: number;
}

/** What a copy of a run would change. */
export interface CopyProposal {
  /** Time that the original is expected to take from now. */
  readonly originalMs: number;
  /** Expected duration of the copy on its target. */
  readonly copyMs: number;
  /** Time that the steps after this one take. */
  readonly followingMs: number;
  /** Time that the rest of the job takes if this task ends now. */
  readonly remainingMs: number;
  /** Time until the latency objective of the job is missed; negative after that. */
  readonly timeToObjectiveMs: number;
  /** Time until a late end of the job counts no more; negative after that. */
  readonly timeToLateLimitMs: number;
}

/** Whether two runs of a task of this step may be active at the same time. */
export function canHaveCopies(step: Step): boolean {
  return step.allowsDuplicates && !step.isGang && !step.isPersistent && !step.isFiller;
}

/** Whether a run takes far longer than most tasks of its step. */
export function isStraggler({ elapsedMs, quantileMs }: RunProgress): boolean {
  return elapsedMs >= MINIMUM_ELAPSED_MS && elapsedMs > quantileMs;
}

/** Whether the target of a straggler has reported since the run became one, or does not answer. */
export function isProgressKnown({ reportedMs, quantileMs, isSilent }: RunProgress): boolean {
  return isSilent || reportedMs >= quantileMs;
}

/**
 * Estimates how many milliseconds a straggler still takes: by its rate of progress up to the last
 * report or, if it is far beyond what is usual, at least as long again as it has taken. Nothing is
 * expected of a run that has made no progress or whose target is silent.
 */
export function estimateRemainingMs(progress: RunProgress): number {
  const { elapsedMs, reportedMs, percent, quantileMs, isSilent } = progress;
  if (isSilent || percent <= 0) return Infinity;
  const byRateMs = Math.max(0, (reportedMs * COMPLETE_PERCENT) / percent - elapsedMs);
  return elapsedMs < HUNG_FACTOR * quantileMs ? byRateMs : Math.max(byRateMs, elapsedMs);
}

/**
 * Whether a copy of a straggler is worth its resources: it is expected to end first, the task is on
 * the critical path, and the job would miss a limit that it keeps if the copy ends first.
 */
export function shouldCopy(proposal: CopyProposal): boolean {
  const { originalMs, copyMs, followingMs, remainingMs } = proposal;
  if (copyMs >= originalMs) return false;
  const withoutCopyMs = originalMs + followingMs;
  if (withoutCopyMs <= remainingMs) return false;
  const withCopyMs = Math.max(copyMs + followingMs, remainingMs);
  return [proposal.timeToObjectiveMs, proposal.timeToLateLimitMs].some(
    (limitMs) => withoutCopyMs > limitMs && withCopyMs <= limitMs,
  );
}

/** Starts and copies of a pool in one part of the window. */
interface BudgetSlot {
  readonly number: number;
  starts: number;
  copies: number;
}

/** Bounds the copies in a pool to a share of its recent starts. Times are monotonic milliseconds. */
export class CopyBudget {
  #slots: BudgetSlot[] = [];

  /** Records starts of tasks that had no other run. */
  recordStarts(count: number, now: number): void {
    this.#getSlot(now).starts += count;
  }

  /** Records the start of a copy. */
  recordCopy(now: number): void {
    this.#getSlot(now).copies += 1;
  }

  /** Computes how many copies may be started now. */
  computeLeft(now: number): number {
    this.#dropOldSlots(now);
    let starts = 0;
    let copies = 0;
    for (const slot of this.#slots) {
      starts += slot.starts;
      copies += slot.copies;
    }
    return Math.max(0, Math.ceil(COPY_SHARE * starts) - copies);
  }

  #getSlot(now: number): BudgetSlot {
    const number = computeSlotNumber(now);
    const last = this.#slots.at(-1);
    if (last?.number === number) return last;
    this.#dropOldSlots(now);
    const created = { number, starts: 0, copies: 0 };
    this.#slots.push(created);
    return created;
  }

  #dropOldSlots(now: number): void {
    const oldest = computeSlotNumber(now) - BUDGET_SLOTS;
    this.#slots = this.#slots.filter(({ number }) => number > oldest);
  }
}

function computeSlotNumber(now: number): number {
  return Math.floor((now * BUDGET_SLOTS) / BUDGET_WINDOW_MS);
}
