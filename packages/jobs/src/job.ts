import { EndKind, JobState, type StoredJob } from '@currantgap/model';
import { Occurrence } from './occurrence.ts';
import type { StepRun } from './step.ts';
import { isFailure, type Attempt, type TaskRun } from './task.ts';

/** What an end changed about a job. */
export enum EndEffect {
  /** The task waits for another run. */
  Retry = 'retry',
  TaskDone = 'task-done',
  JobDone = 'job-done',
  JobFailed = 'job-failed',
  /** A copy of a task that is done already, or a job that has ended. */
  None = 'none',
}

/** One accepted submission and all that is known of its tasks. */
export class Job {
  readonly stored: StoredJob;
  /** Occurrences that have begun to matter and are not done, by number. */
  readonly occurrences = new Map<number, Occurrence>();
  readonly doneOccurrences = new Set<number>();
  state = JobState.Pending;
  /** A start was ordered for one of its tasks, in this or an earlier term. */
  hasStarted = false;
  /** Version of its row in the ledger; 0 where there is none. */
  ledgerVersion = 0;
  /** Last state that the ledger holds, shown to callers. */
  storedState = JobState.Pending;
  /** Unix milliseconds at which it ended; its rows are kept for a while after. */
  endedAt = 0;
  /** Unix milliseconds up to which due occurrences have been opened. */
  #openedThrough = -1;

  constructor(stored: StoredJob) {
    this.stored = stored;
  }

  get id(): string {
    return this.stored.id;
  }

  get isEnded(): boolean {
    return this.state !== JobState.Pending && this.state !== JobState.Running;
  }

  get isScheduled(): boolean {
    return this.stored.submission.iterations > 0;
  }

  get isPersistent(): boolean {
    return this.stored.submission.steps.some((step) => step.isPersistent);
  }

  /** Opens the occurrences that are due. */
  openDue(wallNow: number): void {
    const { iterations, firstRunAt, intervalMs } = this.stored.submission;
    if (this.isEnded) return;
    const last = this.isScheduled ? countDue(wallNow, firstRunAt, intervalMs, iterations) - 1 : 0;
    for (let number = this.#openedThrough + 1; number <= last; number += 1) {
      this.#openedThrough = number;
      if (this.doneOccurrences.has(number)) continue;
      this.openOccurrence(number);
    }
  }

  /** Gets an occurrence, opening it if it is not done. */
  openOccurrence(number: number): Occurrence {
    const known = this.occurrences.get(number);
    if (known !== undefined) return known;
    const opened = new Occurrence(this, number);
    this.occurrences.set(number, opened);
    return opened;
  }

  /** Lists the steps whose tasks may run now. */
  listOpenSteps(wallNow: number): StepRun[] {
    if (this.isEnded) return [];
    this.openDue(wallNow);
    const steps: StepRun[] = [];
    for (const occurrence of this.occurrences.values()) steps.push(...occurrence.listOpenSteps());
    return steps;
  }

  /** Finds a task by occurrence, step and index. */
  findTask(occurrence: number, step: number, index: number): TaskRun | undefined {
    const known = this.occurrences.get(occurrence);
    if (known === undefined && this.doneOccurrences.has(occurrence)) return undefined;
    return (known ?? this.openOccurrence(occurrence)).steps[step]?.tasks[index];
  }

  /** Lists all runs that have not ended. */
  listAttempts(): { task: TaskRun; attempt: Attempt }[] {
    const found: { task: TaskRun; attempt: Attempt }[] = [];
    for (const occurrence of this.occurrences.values()) {
      for (const step of occurrence.steps) {
        for (const task of step.tasks) {
          for (const attempt of task.attempts) found.push({ task, attempt });
        }
      }
    }
    return found;
  }

  /** Applies the end of a run. `maximumAttempts` bounds the failures of a task that can end. */
  applyEnd(task: TaskRun, run: number, kind: EndKind, maximumAttempts: number): EndEffect {
    if (this.isEnded || task.isDone) return EndEffect.None;
    const { isPersistent } = task.step.definition;
    if (kind === EndKind.Done && !isPersistent) return this.#finishTask(task);
    if (!isFailure(kind) || isPersistent) return EndEffect.Retry;
    task.step.recordFailure(task, run);
    if (task.failures < maximumAttempts) return EndEffect.Retry;
    this.state = JobState.Failed;
    return EndEffect.JobFailed;
  }

  /** Ends the job at its caller's wish; an ended job stays as it is. */
  cancel(): boolean {
    if (this.isEnded) return false;
    this.state = JobState.Cancelled;
    return true;
  }

  #finishTask(task: TaskRun): EndEffect {
    task.step.finishTask(task);
    const { occurrence } = task.step;
    if (!occurrence.isDone) return EndEffect.TaskDone;
    this.occurrences.delete(occurrence.number);
    this.doneOccurrences.add(occurrence.number);
    const total = Math.max(1, this.stored.submission.iterations);
    if (this.doneOccurrences.size < total) return EndEffect.TaskDone;
    this.state = JobState.Completed;
    return EndEffect.JobDone;
  }
}

function countDue(wallNow: number, first: number, interval: number, iterations: number): number {
  if (wallNow < first) return 0;
  if (interval <= 0) return iterations;
  return Math.min(iterations, Math.floor((wallNow - first) / interval) + 1);
}
