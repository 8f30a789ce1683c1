import { EndKind } from '@currantgap/model';
import type { StepRun } from './step.ts';

/** How far one run of a task is. */
export enum AttemptPhase {
  /** The start was sent and is not answered yet. */
  Starting = 'starting',
  /** The start got no answer: it may have been carried out, or may still be. */
  Uncertain = 'uncertain',
  Running = 'running',
  /** A stop was sent; the end is not listed yet. */
  Stopping = 'stopping',
}

/** One run of a task on one target. */
export interface Attempt {
  readonly run: number;
  readonly targetId: string;
  /** Lifetime of the target, Unix milliseconds of its start. */
  readonly bornAt: number;
  phase: AttemptPhase;
  /** Instant at which the start was sent or the run was first seen. */
  readonly startedAt: number;
  /** Instant after which this run cannot be carried out any more unless it is listed. */
  expiresAt: number;
  /** 100 when a persistent task is at work; progress of others. */
  percent: number;
  /** Tail latency of a serving task in milliseconds, thousandths of a core of any other. */
  reading: number;
  /** Share of its speed that a filler was last told to use, 0 to 100. */
  pace: number;
  /** Instant since which a report sent later must list the run, if it is there. */
  settledAt: number;
  /** A stop is under way or unanswered until this instant. */
  stopRetryAt: number;
  /** Instant at which a stop was answered: the run can't begin any more. */
  stopAnsweredAt: number | undefined;
}

/** One task and what is known of its runs. */
export class TaskRun {
  readonly step: StepRun;
  readonly index: number;
  /** ID.K.STEP.INDEX */
  readonly name: string;
  readonly attempts: Attempt[] = [];
  isDone = false;
  /** Runs that failed: a successor reads ends again that its predecessor has counted. */
  readonly failedRuns = new Set<number>();
  checkpoint = '';
  /** Not started before this instant. */
  notBefore = 0;
  /** Targets on which a run failed; others are tried first. */
  readonly failedOn = new Set<string>();
  /** Instant of the last run's end; the time a persistent task has been away counts from here. */
  endedAt = 0;

  constructor(step: StepRun, index: number) {
    this.step = step;
    this.index = index;
    this.name = `${step.name}.${index}`;
  }

  /** Attempts that are used up. */
  get failures(): number {
    return this.failedRuns.size;
  }

  get isActive(): boolean {
    return this.attempts.length > 0;
  }

  /** Tells whether the task waits for a target. */
  isWaiting(now: number): boolean {
    return !this.isDone && this.attempts.length === 0 && this.notBefore <= now;
  }

  /** Finds the run with this number on this target. */
  findAttempt(targetId: string, run: number): Attempt | undefined {
    return this.attempts.find((attempt) => attempt.targetId === targetId && attempt.run === run);
  }

  /** Removes a run that has ended or never began. */
  removeAttempt(attempt: Attempt): void {
    const position = this.attempts.indexOf(attempt);
    if (position >= 0) this.attempts.splice(position, 1);
  }
}

/** Tells whether an end of this kind uses up one of a task's attempts. */
export function isFailure(kind: EndKind): boolean {
  return kind === EndKind.Failed;
}
