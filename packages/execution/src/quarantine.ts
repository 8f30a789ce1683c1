import type { Clock } from '@currantgap/tasks';
import type { TargetRecord } from './target-record.ts';

/** Milliseconds for which a target gets no other work after the start of a suspect task. */
const PROBATION_MS = 200;
/** Milliseconds after that start from which the target is asked whether it still runs. */
const REPORT_DELAY_MS = 100;
/** Milliseconds for which a target is kept free of other starts for a suspect task that waits. */
const RESERVATION_MS = 500;

/**
 * Starts each task that may have crashed a target on a target where nothing else was started since
 * its last report, so that a second crash shows whether this task is at fault, and harms few others.
 */
export class Quarantine {
  readonly #clock: Clock;
  readonly #requestReport: (target: TargetRecord) => void;
  /** Monotonic times at which targets with a new suspect run are to be asked for a report. */
  readonly #reportDueAt = new Map<TargetRecord, number>();
  /** Monotonic times until which targets get only suspect tasks. */
  readonly #reservedUntil = new Map<TargetRecord, number>();

  constructor(clock: Clock, requestReport: (target: TargetRecord) => void) {
    this.#clock = clock;
    this.#requestReport = requestReport;
  }

  /** Lists the targets that may get ordinary work. */
  listOrdinary(open: readonly TargetRecord[]): readonly TargetRecord[] {
    if (this.#reservedUntil.size === 0 && this.#reportDueAt.size === 0) return open;
    const { now } = this.#clock;
    return open.filter(
      (target) => now >= target.blockedUntil && now >= (this.#reservedUntil.get(target) ?? 0),
    );
  }

  /** Lists the targets on which a suspect task may start, those without any run first. */
  listForSuspect(open: readonly TargetRecord[]): readonly (readonly TargetRecord[])[] {
    const { now } = this.#clock;
    const quiet = open.filter((target) => now >= target.blockedUntil && target.areRunsListed);
    return [quiet.filter(({ assignmentCount }) => assignmentCount === 0), quiet];
  }

  /** Keeps the emptiest target free of new starts, because a suspect task found no quiet one. */
  holdTarget(open: readonly TargetRecord[]): void {
    const { now } = this.#clock;
    if ([...this.#reservedUntil.values()].some((until) => until > now)) return;
    let emptiest: TargetRecord | undefined;
    for (const target of open) {
      if (target.assignmentCount < (emptiest?.assignmentCount ?? Infinity)) emptiest = target;
    }
    if (emptiest === undefined) return;
    this.#reservedUntil.set(emptiest, now + RESERVATION_MS);
    this.#requestReport(emptiest);
  }

  /** Closes a target on which a suspect task was started until the target has had time to crash. */
  begin(target: TargetRecord): void {
    const { now } = this.#clock;
    target.blockedUntil = Math.max(target.blockedUntil, now + PROBATION_MS);
    this.#reportDueAt.set(target, now + REPORT_DELAY_MS);
    this.#reservedUntil.delete(target);
  }

  /** Requests the reports that are due and drops expired reservations. */
  sweep(): void {
    const { now } = this.#clock;
    for (const [target, dueAt] of this.#reportDueAt) {
      if (now < dueAt) continue;
      this.#reportDueAt.delete(target);
      this.#requestReport(target);
    }
    for (const [target, until] of this.#reservedUntil) {
      if (now >= until) this.#reservedUntil.delete(target);
    }
  }
}
