import { AttemptPhase } from '@currantgap/jobs';
import { Feature } from '@currantgap/model';
import type { OwnerContext } from './context.ts';
import type { RunOrders } from './run-orders.ts';
import type { Assignment, TargetRecord } from './target-record.ts';

/**
 * Milliseconds for which an overdue answer is still waited for, so that answers that arrived while
 * this process was busy are read first.
 */
const READ_MARGIN_MS = 20;
/** Starts that are doubted in one sweep, so that a stall of this process doubts few. */
const MAXIMUM_DOUBTS = 16;

/**
 * Watches for starts whose answers are overdue. The target is asked for a report at once, long before
 * the call is given up: a run that it lists goes on, any other is prevented and started elsewhere.
 */
export class StartWatch {
  readonly #context: OwnerContext;
  readonly #orders: RunOrders;
  readonly #requestReport: (target: TargetRecord) => void;
  /** Time from which an overdue start is doubted, in milliseconds. */
  readonly #doubtFrom = new WeakMap<Assignment, number>();

  constructor(
    context: OwnerContext,
    orders: RunOrders,
    requestReport: (target: TargetRecord) => void,
  ) {
    this.#context = context;
    this.#orders = orders;
    this.#requestReport = requestReport;
  }

  /** Doubts the starts that are overdue. */
  sweep(): void {
    const { bounds, clock, sweepDelay } = this.#context;
    const { now } = clock;
    if (bounds.disabledFeatures?.has(Feature.OverdueCalls) || sweepDelay.isBusy(now)) return;
    const { limitMs } = this.#orders.startTimes;
    let doubts = 0;
    const doubted = new Set<TargetRecord>();
    for (const [assignment, target] of this.#orders.unansweredStarts) {
      // Starts are in the order in which they were sent.
      if (now < assignment.attempt.startedAt + limitMs || doubts >= MAXIMUM_DOUBTS) break;
      if (!canDoubt(assignment)) continue;
      const doubtFrom = this.#doubtFrom.get(assignment);
      if (doubtFrom === undefined) this.#doubtFrom.set(assignment, now + READ_MARGIN_MS);
      else if (now >= doubtFrom) {
        this.#recordDoubt(assignment, target, limitMs);
        doubted.add(target);
        doubts += 1;
      }
    }
    for (const target of doubted) this.#requestReport(target);
  }

  #recordDoubt({ task, attempt }: Assignment, target: TargetRecord, limitMs: number): void {
    const { clock, logger } = this.#context;
    attempt.phase = AttemptPhase.Uncertain;
    target.expectLateCall(attempt.startedAt);
    logger.writeInfo('start overdue', {
      request: task.step.job.id,
      task: task.name,
      run: attempt.run,
      target: target.id,
      elapsedMs: Math.round(clock.now - attempt.startedAt),
      limitMs: Math.round(limitMs),
    });
  }
}

/** Whether a start may be prevented: a gang would be left without one of its members. */
function canDoubt({ task, attempt }: Assignment): boolean {
  return attempt.phase === AttemptPhase.Starting && !task.step.definition.isGang;
}
