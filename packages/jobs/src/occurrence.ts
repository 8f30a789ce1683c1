import type { Job } from './job.ts';
import { StepRun } from './step.ts';

/** One pass through the steps of a job; a job without a schedule has just the one with number 0. */
export class Occurrence {
  readonly number: number;
  /** Unix milliseconds before which nothing of it may start; 0 means at once. */
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

  /** Lists the steps whose tasks may run and are not all done. */
  listOpenSteps(): StepRun[] {
    return this.steps.filter((step) => !step.isDone && step.isReady);
  }
}
