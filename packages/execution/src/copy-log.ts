import { AttemptPhase, type Attempt, type TaskRun } from '@currantgap/jobs';
import type { RunProgress } from '@currantgap/scheduling';
import type { OwnerContext } from './context.ts';

/** What became of a copy. */
export enum CopyOutcome {
  Started = 'started',
  /** The copy was done first. */
  Won = 'won',
  /** The original was done first, or the copy or the whole job ended otherwise. */
  Lost = 'lost',
}

/** Two runs of one task. */
export interface RunCopy {
  readonly task: TaskRun;
  readonly original: Attempt;
  readonly copy: Attempt;
  /** Duration that was expected of the task, in milliseconds. */
  readonly expectedMs: number;
}

/** Follows the copies of this term from their start to their end and logs both. */
export class CopyLog {
  readonly #context: OwnerContext;
  readonly #onCopy: (outcome: CopyOutcome) => void;
  readonly #copies = new Map<TaskRun, RunCopy>();
  /** Tasks that have had a copy that may have begun; they get no other one. */
  readonly #copied = new WeakSet<TaskRun>();

  constructor(context: OwnerContext, onCopy: (outcome: CopyOutcome) => void) {
    this.#context = context;
    this.#onCopy = onCopy;
  }

  /** Whether a task has had a copy in this term. */
  hasCopied(task: TaskRun): boolean {
    return this.#copied.has(task);
  }

  /** Records that a copy was started. */
  recordStart(started: RunCopy, progress: RunProgress, budgetLeft: number): void {
    const { task, original, copy } = started;
    this.#copies.set(task, started);
    this.#copied.add(task);
    this.#onCopy(CopyOutcome.Started);
    this.#context.logger.writeInfo('copy started', {
      request: task.step.job.id,
      task: task.name,
      run: copy.run,
      target: copy.targetId,
      originalRun: original.run,
      originalTarget: original.targetId,
      elapsedMs: Math.round(progress.elapsedMs),
      percent: progress.percent,
      quantileMs: Math.round(progress.quantileMs),
      budgetLeft,
    });
  }

  /** Records the copies that have ended, or whose task has, since the last call. */
  recordEnds(): void {
    for (const pair of [...this.#copies.values()]) {
      const { task, copy } = pair;
      if (!task.isDone && !task.step.job.isEnded && task.attempts.includes(copy)) continue;
      this.#copies.delete(task);
      this.#recordEnd(pair);
    }
  }

  #recordEnd(pair: RunCopy): void {
    const { clock, fleet, logger } = this.#context;
    const { task, original, copy, expectedMs } = pair;
    const hasWon = task.isDone && task.doneRun === copy.run;
    const reason = describeEnd(pair);
    if (reason === 'never began') this.#copied.delete(task);
    if (hasWon) {
      const ratio = (clock.now - original.startedAt) / expectedMs;
      fleet.find(original.targetId)?.health.recordOvertaken(ratio);
    }
    this.#onCopy(hasWon ? CopyOutcome.Won : CopyOutcome.Lost);
    logger.writeInfo(hasWon ? 'copy won' : 'copy lost', {
      request: task.step.job.id,
      task: task.name,
      run: copy.run,
      target: copy.targetId,
      originalRun: original.run,
      originalTarget: original.targetId,
      copyMs: Math.round(clock.now - copy.startedAt),
      originalMs: Math.round(clock.now - original.startedAt),
      reason,
    });
  }
}

function describeEnd({ task, copy }: RunCopy): string {
  if (task.isDone) return task.doneRun === copy.run ? 'copy done' : 'original done';
  if (task.step.job.isEnded) return 'job ended';
  const hasBegun = copy.phase === AttemptPhase.Running || copy.phase === AttemptPhase.Stopping;
  return hasBegun ? 'copy ended early' : 'never began';
}
