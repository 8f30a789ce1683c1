import { EndKind } from '@currantgap/model';
import type { StepRun } from './step.ts';

/** Phase of one run of a task. */
export enum AttemptPhase {
  /** The start was sent and has not been answered yet. */
  Starting = 'starting',
  /** The start got no answer: the target may have begun the run, or may still begin it. */
  Uncertain = 'uncertain',
  Running = 'running',
  /** A stop was sent; the target has not reported the end of the run yet. */
  Stopping = 'stopping',
}

/** One run of a task on one target. Times are milliseconds of the owner's monotonic clock. */
export interface Attempt {
  readonly run: number;
  readonly targetId: string;
  /** Fencing token of the start, or of the calls to the target when it listed the run. */
  readonly token: number;
  /**
   * Start of the target's incarnation by whose clock the start expires, or that has listed the run; Unix
   * milliseconds.
   */
  bornAt: number;
  phase: AttemptPhase;
  /** Time at which the start was sent, or at which a run of an earlier term was adopted. */
  readonly startedAt: number;
  /**
   * Time after which the incarnation that the start was meant for can no longer begin the run. If a
   * report requested later does not list the run, it never began there.
   */
  expiresAt: number;
  /** Time from which no node sends the start any more. */
  sentBefore: number;
  /** Whether a target has accepted the start, or listed the run. */
  hasBegun: boolean;
  /** Progress in percent; 100 for a persistent task that is in service. */
  percent: number;
  /**
   * Time before which a run of an earlier term does not count as ready: a stop that a predecessor
   * sent may still end it.
   */
  readyNotBefore: number;
  /** Whether a report of the target has listed the run. */
  isListed: boolean;
  /** Whether the run is no longer active, although its end is not listed yet. */
  isEndAwaited: boolean;
  /** Tail latency of a serving task in milliseconds; CPU use of other tasks in millicores. */
  reading: number;
  /** Percentage of full speed that the target last accepted for a filler, 0 to 100. */
  pace: number;
  /**
   * Reports requested after this time list the run if the target has it: the time at which the
   * call to start it completed, or at which the run was adopted.
   */
  expectedInReportsAfter: number;
  /** Time before which an unanswered stop is not sent again. */
  stopRetryAt: number;
  /** Time at which the current incarnation accepted a stop: the run can no longer begin on it. */
  stopAnsweredAt: number | undefined;
}

/** A start that was not answered, and that an incarnation of the target that follows may carry out. */
export interface LateStart {
  readonly targetId: string;
  /** Monotonic time at which it was sent, in milliseconds. */
  readonly startedAt: number;
}

/** Shared by all tasks without entries: most tasks never fail, and large jobs have many. */
const NO_RUNS: ReadonlySet<number> = new Set();
const NO_NAMES: ReadonlySet<string> = new Set();
const NO_ATTEMPTS: readonly Attempt[] = [];

/** One task and its runs. Times are milliseconds of the owner's monotonic clock. */
export class TaskRun {
  readonly step: StepRun;
  readonly index: number;
  /** `ID.OCCURRENCE.STEP.INDEX`, with the job's id. */
  readonly name: string;
  #attempts: Attempt[] | undefined;
  /** Set by the step, which counts its tasks that are done. */
  isDone = false;
  /** Number of the run that was done first; 0 if none was in this term. */
  doneRun = 0;
  #failedRuns: Set<number> | undefined;
  #crashedOn: Set<string> | undefined;
  #unansweredOn: Set<string> | undefined;
  #sharedOn: Set<string> | undefined;
  checkpoint = '';
  /** Time before which the task is not started again. */
  notBefore = 0;
  /** The last start whose target restarted before it answered; undefined if there is none. */
  lateStart: LateStart | undefined;
  #failedOn: Set<string> | undefined;
  /** Time at which the last run ended; the downtime of a persistent task counts from it. */
  endedAt = 0;

  constructor(step: StepRun, index: number) {
    this.step = step;
    this.index = index;
    this.name = `${step.name}.${index}`;
  }

  /** Runs that have not ended. */
  get attempts(): readonly Attempt[] {
    return this.#attempts ?? NO_ATTEMPTS;
  }

  /**
   * Numbers of the runs that failed. A set, since after a take-over the new owner reads ends again
   * that its predecessor has already counted.
   */
  get failedRuns(): ReadonlySet<number> {
    return this.#failedRuns ?? NO_RUNS;
  }

  /**
   * Incarnations of targets that crashed while a run of this task was suspected of it. A set, since
   * several owners may learn of the same crash.
   */
  get crashedOn(): ReadonlySet<string> {
    return this.#crashedOn ?? NO_NAMES;
  }

  /** Those of `crashedOn` that never answered the start, and so may have crashed before it reached them. */
  get unansweredOn(): ReadonlySet<string> {
    return this.#unansweredOn ?? NO_NAMES;
  }

  /** Incarnations that crashed together with others before they listed a run of this task. */
  get sharedOn(): ReadonlySet<string> {
    return this.#sharedOn ?? NO_NAMES;
  }

  /** Ids of the targets on which a run of the task failed; other targets are preferred. */
  get failedOn(): ReadonlySet<string> {
    return this.#failedOn ?? NO_NAMES;
  }

  recordFailedRun(run: number): void {
    this.#failedRuns = (this.#failedRuns ?? new Set()).add(run);
  }

  /** Records the crash of an incarnation of a target that had begun the task. */
  recordCrash(incarnation: string): void {
    this.#crashedOn = (this.#crashedOn ?? new Set()).add(incarnation);
    this.#unansweredOn?.delete(incarnation);
  }

  /** Records the crash of an incarnation of a target that never answered the start of the task. */
  recordUnansweredCrash(incarnation: string): void {
    if (this.crashedOn.has(incarnation)) return;
    this.recordCrash(incarnation);
    this.#unansweredOn = (this.#unansweredOn ?? new Set()).add(incarnation);
  }

  /** Records that an incarnation crashed together with others, and whether it had listed the task. */
  recordSharedCrash(incarnation: string, isListed: boolean): void {
    this.#crashedOn?.delete(incarnation);
    this.#unansweredOn?.delete(incarnation);
    if (!isListed) this.#sharedOn = (this.#sharedOn ?? new Set()).add(incarnation);
  }

  recordFailedTarget(targetId: string): void {
    this.#failedOn = (this.#failedOn ?? new Set()).add(targetId);
  }

  /** Whether a target may have crashed under the task, so that its next run may crash another one. */
  get isSuspect(): boolean {
    return this.crashedOn.size > 0;
  }

  /** Number of failed runs; each uses up one of the task's attempts. */
  get failures(): number {
    return this.failedRuns.size;
  }

  /** Whether the task has a run that has not ended. */
  get isActive(): boolean {
    return this.attempts.length > 0;
  }

  /** Whether the task is not done, has no run and may be started now. */
  isWaiting(now: number): boolean {
    return !this.isDone && this.attempts.length === 0 && this.notBefore <= now;
  }

  /** Finds a run by target and run number. */
  findAttempt(targetId: string, run: number): Attempt | undefined {
    return this.attempts.find((attempt) => attempt.targetId === targetId && attempt.run === run);
  }

  /** Takes over the checkpoint of a run, unless another run of the task has progressed further. */
  recordCheckpoint(checkpoint: string, attempt: Attempt | undefined): void {
    if (checkpoint === '') return;
    const percent = attempt?.percent ?? 0;
    const isBehind = this.attempts.some((other) => other !== attempt && other.percent > percent);
    if (!isBehind || this.checkpoint === '') this.checkpoint = checkpoint;
  }

  /** Adds a run that was ordered, or that a target has reported. */
  addAttempt(attempt: Attempt): void {
    this.#attempts ??= [];
    this.#attempts.push(attempt);
    this.step.recordAttempt(this, attempt);
  }

  /** Removes a run that has ended, was lost or never began. */
  removeAttempt(attempt: Attempt): void {
    const position = this.attempts.indexOf(attempt);
    if (position < 0) return;
    this.#attempts?.splice(position, 1);
    this.step.recordAttemptEnd(this, attempt);
  }
}

/** Whether an end of this kind uses up one of the task's attempts. */
export function isFailure(kind: EndKind): boolean {
  return kind === EndKind.Failed;
}
