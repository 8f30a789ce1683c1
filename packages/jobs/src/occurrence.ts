import type { Job } from './job.ts';
import { StepRun } from './step.ts';

/** One execution of a job's steps. A job without a schedule has a single occurrence, number 0. */
export class Occurrence {
  readonly number: number;
  /** Unix milliseconds before which no task of it may start; 0 means immediately. */
  readonly dueAt: number;
  readonly steps: readonly StepRun[];

  constructor(job: Job, number: number) {
    const { submission } = job.stored;
    this.number = number;
    this.dueAt =
      submission.iterations > 0 ? submission.firstRunAt + number * submission.intervalMs : 0;
    const steps: StepRun[] = [];
    this.steps = steps;
    for (const index of submission.steps.keys()) steps.push(new StepRun(job, this, index));
  }

  get isDone(): boolean {
    return this.steps.every((step) => step.isDone);
  }

  /** Lists the steps that are not done and whose prerequisite steps are. */
  listRunnableSteps(): StepRun[] {
    return this.steps.filter((step) => !step.isDone && step.isReady);
  }
}
