import type { Step } from '@currantgap/model';
import type { Job } from './job.ts';
import type { Occurrence } from './occurrence.ts';
import { TaskRun } from './task.ts';

/** One step of one occurrence of a job. */
export class StepRun {
  readonly job: Job;
  readonly occurrence: Occurrence;
  readonly index: number;
  /** ID.K.STEP */
  readonly name: string;
  readonly tasks: readonly TaskRun[];
  openTasks: number;
  /** Starts ordered in this term; the next run number comes from it. */
  starts = 0;

  constructor(job: Job, occurrence: Occurrence, index: number) {
    this.job = job;
    this.occurrence = occurrence;
    this.index = index;
    this.name = `${job.id}.${occurrence.number}.${index}`;
    const { count } = this.definition;
    this.tasks = Array.from({ length: count }, (_, position) => new TaskRun(this, position));
    this.openTasks = count;
  }

  get definition(): Step {
    const step = this.job.stored.submission.steps[this.index];
    if (step === undefined)
      throw new RangeError(`step ${this.index} of job ${this.job.id} is missing`);
    return step;
  }

  get isDone(): boolean {
    return this.openTasks === 0;
  }

  /** Tells whether all tasks of the steps before it are done. */
  get isReady(): boolean {
    return this.definition.after.every((index) => this.occurrence.steps[index]?.isDone === true);
  }

  /** Lists the tasks that wait for a target. */
  listWaiting(now: number): TaskRun[] {
    return this.tasks.filter((task) => task.isWaiting(now));
  }

  /** Marks a task as done; a gang is done as a whole. */
  finishTask(task: TaskRun): void {
    const finished = this.definition.isGang ? this.tasks : [task];
    for (const member of finished) {
      if (member.isDone) continue;
      member.isDone = true;
      this.openTasks -= 1;
    }
  }

  /** Records a failed run of a task, or of the gang as a whole; it counts once. */
  recordFailure(task: TaskRun, run: number): void {
    const failed = this.definition.isGang ? this.tasks : [task];
    for (const member of failed) member.failedRuns.add(run);
  }
}
