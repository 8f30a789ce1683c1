import { EndKind, JobState, type Step, type StoredJob, type Submission } from '@currantgap/model';
import { NumberRanges } from './number-ranges.ts';
import { Occurrence } from './occurrence.ts';
import type { StepRun } from './step.ts';
import { isFailure, type Attempt, type TaskRun } from './task.ts';

/**
 * Tasks of a schedule from which no further due occurrence is opened before others are done: far more
 * than run at the same time, and few enough that their progress fits into the rows of one transaction.
 */
const MAXIMUM_OPEN_TASKS = 2_000;
/**
 * Waiting tasks of a schedule of persistent tasks beyond which no further due occurrence is opened: more than one
 * planning pass starts.
 */
const MAXIMUM_WAITING_TASKS = 1_000;

/** Tasks that a job may have at the same time; the progress of more has no room in one transaction. */
export const MAXIMUM_TASKS = 17_500;

/**
 * Counts the tasks that a submission has at the same time once all its occurrences are due. Persistent ones never
 * end, so that those of all occurrences add up.
 */
export function countConcurrentTasks({ steps, iterations }: Submission): number {
  const persistent = steps.filter(({ isPersistent }) => isPersistent);
  return countTasks(steps) + countTasks(persistent) * Math.max(0, iterations - 1);
}

/** Effect of a run's end on its job. */
export enum EndEffect {
  /** The task is not done and waits for another run. */
  Retry = 'retry',
  TaskDone = 'task-done',
  JobDone = 'job-done',
  JobFailed = 'job-failed',
  /** The task was already done by a duplicate run, or the job has already ended. */
  None = 'none',
}

/** An accepted submission and the progress of its tasks. */
export class Job {
  readonly stored: StoredJob;
  /** Open occurrences by number: the oldest that are due, and those that have had a run, not done. */
  readonly occurrences = new Map<number, Occurrence>();
  readonly doneOccurrences = new NumberRanges();
  state = JobState.Pending;
  /** Whether one of its tasks is known to have begun, in this or an earlier term. */
  hasStarted = false;
  /** Version of the job's row in the ledger; 0 if there is none. */
  ledgerVersion = 0;
  /** Rows over which the ledger row is spread, as far as is known. */
  ledgerParts = 1;
  /** State in the ledger row. Callers see a job as running until its end is stored there. */
  storedState = JobState.Pending;
  /**
   * Unix milliseconds at which the job ended, 0 before; its rows are kept for a retention period
   * after that.
   */
  endedAt = 0;
  /** Whether a step has persistent tasks, which run until the job is cancelled. */
  readonly isPersistent: boolean;
  /** Tasks of one occurrence. */
  readonly #tasksPerOccurrence: number;
  /** Steps of open occurrences that have waiting tasks. */
  readonly #waitingSteps = new Set<StepRun>();
  /** Number of the waiting tasks of all open occurrences. */
  #waitingCount = 0;
  /** Number of the last occurrence that was opened because it was due; -1 before the first. */
  #openedThrough = -1;

  constructor(stored: StoredJob) {
    this.stored = stored;
    const { steps } = stored.submission;
    this.isPersistent = steps.some((step) => step.isPersistent);
    this.#tasksPerOccurrence = countTasks(steps);
  }

  get id(): string {
    return this.stored.id;
  }

  get isEnded(): boolean {
    return this.state !== JobState.Pending && this.state !== JobState.Running;
  }

  /** Whether the steps run repeatedly on a schedule. */
  get isScheduled(): boolean {
    return this.stored.submission.iterations > 0;
  }

  /** Opens the due occurrences, as many as may be open at the same time; `wallNow` is in Unix milliseconds. */
  openDueOccurrences(wallNow: number): void {
    const { iterations, firstRunAt, intervalMs } = this.stored.submission;
    if (this.isEnded) return;
    const last = this.isScheduled
      ? countDueOccurrences(wallNow, firstRunAt, intervalMs, iterations) - 1
      : 0;
    for (let number = this.#openedThrough + 1; number <= last; number += 1) {
      if (!this.occurrences.has(number) && !this.#canOpenAnother()) return;
      this.#openedThrough = number;
      if (this.doneOccurrences.has(number)) continue;
      this.openOccurrence(number);
    }
  }

  /** Returns an open occurrence, creating it if needed. The caller checks that it is not done. */
  openOccurrence(number: number): Occurrence {
    const existing = this.occurrences.get(number);
    if (existing !== undefined) return existing;
    const created = new Occurrence(this, number);
    this.occurrences.set(number, created);
    return created;
  }

  /** Opens the occurrences that are due and lists the steps whose tasks may run now. */
  listRunnableSteps(wallNow: number): StepRun[] {
    if (this.isEnded) return [];
    this.openDueOccurrences(wallNow);
    const steps: StepRun[] = [];
    for (const occurrence of this.occurrences.values())
      steps.push(...occurrence.listRunnableSteps());
    return steps;
  }

  /** Opens the occurrences that are due and lists the steps whose tasks may run now and some of which wait. */
  listWaitingSteps(wallNow: number): StepRun[] {
    if (this.isEnded) return [];
    this.openDueOccurrences(wallNow);
    return [...this.#waitingSteps].filter((step) => step.isReady);
  }

  /** Records by how much the number of waiting tasks of a step has changed. */
  recordWaiting(step: StepRun, change: number): void {
    this.#waitingCount += change;
    if (step.waitingCount > 0) this.#waitingSteps.add(step);
    else this.#waitingSteps.delete(step);
  }

  /** Finds a task by occurrence, step and index; undefined if the occurrence is done. */
  findTask(occurrence: number, step: number, index: number): TaskRun | undefined {
    const existing = this.occurrences.get(occurrence);
    if (existing === undefined && this.doneOccurrences.has(occurrence)) return undefined;
    return (existing ?? this.openOccurrence(occurrence)).steps[step]?.findTask(index);
  }

  /** Lists all runs that have not ended, each with its task. */
  listAttempts(): { task: TaskRun; attempt: Attempt }[] {
    const found: { task: TaskRun; attempt: Attempt }[] = [];
    for (const occurrence of this.occurrences.values()) {
      for (const step of occurrence.steps) {
        for (const task of step.activeTasks) {
          for (const attempt of task.attempts) found.push({ task, attempt });
        }
      }
    }
    return found;
  }

  /**
   * Applies the end of a run. The job fails once one of its tasks, unless it is persistent, has
   * `maximumAttempts` failed runs.
   */
  applyRunEnd(task: TaskRun, run: number, kind: EndKind, maximumAttempts: number): EndEffect {
    if (this.isEnded || task.isDone) return EndEffect.None;
    const { isPersistent } = task.step.definition;
    if (kind === EndKind.Done && !isPersistent) {
      task.doneRun = run;
      return this.#finishTask(task);
    }
    if (!isFailure(kind) || isPersistent) return EndEffect.Retry;
    task.step.recordFailure(task, run);
    if (task.failures < maximumAttempts) return EndEffect.Retry;
    this.state = JobState.Failed;
    return EndEffect.JobFailed;
  }

  /** Fails the job if a task has this many failed runs; returns whether it did. */
  failIfExhausted(maximumAttempts: number): boolean {
    const tasks = [...this.occurrences.values()].flatMap(({ steps }) =>
      steps.flatMap((step) => (step.definition.isPersistent ? [] : [...step.records])),
    );
    const isExhausted = tasks.some((task) => !task.isDone && task.failures >= maximumAttempts);
    return isExhausted && this.fail();
  }

  /** Fails the job; returns false, and changes nothing, if it has already ended. */
  fail(): boolean {
    if (this.isEnded) return false;
    this.state = JobState.Failed;
    return true;
  }

  /** Cancels the job; returns false, and changes nothing, if it has already ended. */
  cancel(): boolean {
    if (this.isEnded) return false;
    this.state = JobState.Cancelled;
    return true;
  }

  /**
   * Whether one more due occurrence may be opened. Persistent tasks never end, so that no occurrence waits for the
   * end of others: one is opened for those that have started, until the job has as many tasks as one may have.
   */
  #canOpenAnother(): boolean {
    const openTasks = this.occurrences.size * this.#tasksPerOccurrence;
    if (openTasks === 0) return true;
    if (!this.isPersistent) return openTasks + this.#tasksPerOccurrence <= MAXIMUM_OPEN_TASKS;
    if (this.#waitingCount >= MAXIMUM_WAITING_TASKS) return false;
    return openTasks + this.#tasksPerOccurrence <= MAXIMUM_TASKS;
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

function countTasks(steps: readonly Pick<Step, 'count'>[]): number {
  return steps.reduce((sum, { count }) => sum + count, 0);
}

function countDueOccurrences(
  wallNow: number,
  firstRunAt: number,
  intervalMs: number,
  iterations: number,
): number {
  if (wallNow < firstRunAt) return 0;
  if (intervalMs <= 0) return iterations;
  return Math.min(iterations, Math.floor((wallNow - firstRunAt) / intervalMs) + 1);
}
