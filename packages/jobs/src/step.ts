import type { Step } from '@currantgap/model';
import type { Job } from './job.ts';
import { NumberRanges } from './number-ranges.ts';
import type { Occurrence } from './occurrence.ts';
import { TaskRun, type Attempt } from './task.ts';

/** Which of the waiting tasks of a step are listed. */
export interface WaitingFilter {
  /** Number of tasks after which the list ends; unlimited if undefined. */
  readonly limit?: number;
  /** Whether the task with a name is listed; all are if undefined. */
  readonly isIncluded?: ((name: string) => boolean) | undefined;
}

/**
 * One step of one occurrence of a job. A task has a record from the moment at which something is known of it, so
 * that memory follows what was started, not what was submitted.
 */
export class StepRun {
  readonly job: Job;
  readonly occurrence: Occurrence;
  readonly index: number;
  /** `ID.OCCURRENCE.STEP`: the job's id, the occurrence's number and the step's index. */
  readonly name: string;
  /** Number of tasks. */
  readonly count: number;
  /** Indices of the tasks that are done. */
  readonly doneTasks = new NumberRanges();
  /** Number of starts ordered in this term; run numbers derive from it. */
  startCount = 0;
  readonly #records = new Map<number, TaskRun>();
  /** Records of the tasks that wait. */
  readonly #waiting = new Set<TaskRun>();
  readonly #active = new Set<TaskRun>();
  /** Number of runs by target id, in the order in which the targets got the first one. */
  readonly #runsOn = new Map<string, number>();
  /** Number of tasks with a run that are not done. */
  #activeOpenCount = 0;
  /** All tasks before this index have a record or are done. */
  #firstUnknown = 0;
  #waitingCount = 0;

  constructor(job: Job, occurrence: Occurrence, index: number) {
    this.job = job;
    this.occurrence = occurrence;
    this.index = index;
    this.name = `${job.id}.${occurrence.number}.${index}`;
    this.count = this.definition.count;
    this.#updateWaitingCount();
  }

  /** The step as submitted. Throws RangeError if the job has no step with this index. */
  get definition(): Step {
    const step = this.job.stored.submission.steps[this.index];
    if (step === undefined)
      throw new RangeError(`step ${this.index} of job ${this.job.id} is missing`);
    return step;
  }

  /** All tasks by their index; each of them has a record from then on. */
  get tasks(): readonly TaskRun[] {
    return Array.from({ length: this.count }, (_, index) => this.#openRecord(index));
  }

  /** The tasks that have a record. */
  get records(): Iterable<TaskRun> {
    return this.#records.values();
  }

  /** The tasks that have a run. */
  get activeTasks(): Iterable<TaskRun> {
    return this.#active;
  }

  /** Number of tasks that are not done. */
  get openTaskCount(): number {
    return this.count - this.doneTasks.size;
  }

  /** Number of tasks that are not done and have no run, also of those that must not start yet. */
  get waitingCount(): number {
    return this.#waitingCount;
  }

  get isDone(): boolean {
    return this.openTaskCount === 0;
  }

  /** Whether all steps that this one depends on are done. */
  get isReady(): boolean {
    return this.definition.after.every((index) => this.occurrence.steps[index]?.isDone === true);
  }

  /** Ids of the targets on which the step has runs. */
  get targetIds(): Iterable<string> {
    return this.#runsOn.keys();
  }

  /** Finds a task; undefined if the step has none with this index. */
  findTask(index: number): TaskRun | undefined {
    return index >= 0 && index < this.count ? this.#openRecord(index) : undefined;
  }

  /** Whether the task with an index is not done and has no run. */
  isTaskWaiting(index: number): boolean {
    if (index < 0 || index >= this.count || this.doneTasks.has(index)) return false;
    return this.#records.get(index)?.isActive !== true;
  }

  /** Lists the tasks that wait to be placed on a target: those with a record first, each by their index. */
  listWaiting(now: number, { limit = Infinity, isIncluded }: WaitingFilter = {}): TaskRun[] {
    const known = [...this.#waiting].filter(
      (task) => task.isWaiting(now) && isIncluded?.(task.name) !== false,
    );
    const found = known.sort((left, right) => left.index - right.index).slice(0, limit);
    const { count } = this;
    for (let index = this.#firstUnknown; index < count && found.length < limit; index += 1) {
      if (this.#isKnown(index)) continue;
      if (isIncluded?.(`${this.name}.${index}`) !== false) found.push(this.#openRecord(index));
    }
    return found;
  }

  /** Whether all tasks wait and may be started now. */
  canStartAll(now: number): boolean {
    if (this.#waitingCount < this.count) return false;
    for (const task of this.#waiting) if (!task.isWaiting(now)) return false;
    return true;
  }

  /** Counts the runs of the step on a target. */
  countAttemptsOn(targetId: string): number {
    return this.#runsOn.get(targetId) ?? 0;
  }

  /** Records a run that was added to a task. */
  recordAttempt(task: TaskRun, { targetId }: Attempt): void {
    this.#runsOn.set(targetId, this.countAttemptsOn(targetId) + 1);
    if (task.attempts.length > 1) return;
    this.#active.add(task);
    this.#waiting.delete(task);
    if (!task.isDone) this.#activeOpenCount += 1;
    this.#updateWaitingCount();
  }

  /** Records a run that was removed from a task. */
  recordAttemptEnd(task: TaskRun, { targetId }: Attempt): void {
    const left = this.countAttemptsOn(targetId) - 1;
    if (left > 0) this.#runsOn.set(targetId, left);
    else this.#runsOn.delete(targetId);
    if (task.isActive) return;
    this.#active.delete(task);
    if (task.isDone) return;
    this.#waiting.add(task);
    this.#activeOpenCount -= 1;
    this.#updateWaitingCount();
  }

  /** Marks a task as done; in a gang, this marks all members. */
  finishTask(task: TaskRun): void {
    if (!this.definition.isGang) this.recordDone(task.index);
    else for (let index = 0; index < this.count; index += 1) this.recordDone(index);
  }

  /** Records that the task with an index is done. */
  recordDone(index: number): void {
    if (index >= this.count || this.doneTasks.has(index)) return;
    this.doneTasks.add(index);
    const record = this.#records.get(index);
    if (record !== undefined) {
      record.isDone = true;
      this.#waiting.delete(record);
      if (record.isActive) this.#activeOpenCount -= 1;
    }
    this.#updateWaitingCount();
  }

  /** Records a failed run of a task, or of all members of a gang. Each run number counts once. */
  recordFailure(task: TaskRun, run: number): void {
    if (task.failedRuns.has(run)) return;
    const failed = this.definition.isGang ? this.tasks : [task];
    for (const member of failed) member.recordFailedRun(run);
  }

  #openRecord(index: number): TaskRun {
    const known = this.#records.get(index);
    if (known !== undefined) return known;
    const created = new TaskRun(this, index);
    created.isDone = this.doneTasks.has(index);
    this.#records.set(index, created);
    if (!created.isDone) this.#waiting.add(created);
    while (this.#firstUnknown < this.count && this.#isKnown(this.#firstUnknown))
      this.#firstUnknown += 1;
    return created;
  }

  #isKnown(index: number): boolean {
    return this.#records.has(index) || this.doneTasks.has(index);
  }

  #updateWaitingCount(): void {
    const before = this.#waitingCount;
    this.#waitingCount = this.openTaskCount - this.#activeOpenCount;
    this.job.recordWaiting(this, this.#waitingCount - before);
  }
}
