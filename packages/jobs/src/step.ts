import type { Step } from '@currantgap/model';
import type { Job } from './job.ts';
import type { Occurrence } from './occurrence.ts';
import { TaskRun } from './task.ts';

/** One step of one occurrence of a job. */
export class StepRun {
  readonly job: Job;
  readonly occurrence: Occurrence;
  readonly index: number;
  /** `ID.OCCURRENCE.STEP`: the job's id, the occurrence's number and the step's index. */
  readonly name: string;
  readonly tasks: readonly TaskRun[];
  /** Number of tasks that are not done. */
  openTaskCount: number;
  /** Number of starts ordered in this term; run numbers derive from it. */
  startCount = 0;

  constructor(job: Job, occurrence: Occurrence, index: number) {
    this.job = job;
    this.occurrence = occurrence;
    this.index = index;
    this.name = `${job.id}.${occurrence.number}.${index}`;
    const { count } = this.definition;
    this.tasks = Array.from({ length: count }, (_, position) => new TaskRun(this, position));
    this.openTaskCount = count;
  }

  /** The step as submitted. Throws RangeError if the job has no step with this index. */
  get definition(): Step {
    const step = this.job.stored.submission.steps[this.index];
    if (step === undefined)
      throw new RangeError(`step ${this.index} of job ${this.job.id} is missing`);
    return step;
  }

  get isDone(): boolean {
    return this.openTaskCount === 0;
  }

  /** Whether all steps that this one depends on are done. */
  get isReady(): boolean {
    return this.definition.after.every((index) => this.occurrence.steps[index]?.isDone === true);
  }

  /** Lists the tasks that wait to be placed on a target. */
  listWaiting(now: number): TaskRun[] {
    return this.tasks.filter((task) => task.isWaiting(now));
  }

  /** Counts the runs of the step on a target. */
  countAttemptsOn(targetId: string): number {
    let count = 0;
    for (const task of this.tasks) {
      for (const attempt of task.attempts) if (attempt.targetId === targetId) count += 1;
    }
    return count;
  }

  /** Marks a task as done; in a gang, this marks all members. */
  finishTask(task: TaskRun): void {
    const finished = this.definition.isGang ? this.tasks : [task];
    for (const member of finished) {
      if (member.isDone) continue;
      member.isDone = true;
      this.openTaskCount -= 1;
    }
  }

  /** Records a failed run of a task, or of all members of a gang. Each run number counts once. */
  recordFailure(task: TaskRun, run: number): void {
    const failed = this.definition.isGang ? this.tasks : [task];
    for (const member of failed) member.recordFailedRun(run);
  }
}
