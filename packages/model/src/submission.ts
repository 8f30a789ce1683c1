import type { TeamName } from './names.ts';
import type { Resources } from './deployment.ts';

/** One step of a submission: `count` identical tasks. */
export interface Step {
  readonly count: number;
  readonly request: Resources;
  /** Client's rough estimate of a task's duration in milliseconds. */
  readonly estimatedMs: number;
  /** Indexes of the steps whose tasks must finish before this step starts. */
  readonly after: readonly number[];
  readonly isCheckpointing: boolean;
  readonly isGang: boolean;
  readonly isSameRack: boolean;
  readonly requiredLabel: string | undefined;
  readonly dataRack: string | undefined;
  /** Maximum number of tasks of the step on one target; 0 means no limit. */
  readonly antiAffinity: number;
  readonly allowsDuplicates: boolean;
  /** Runs until the submission is cancelled. */
  readonly isPersistent: boolean;
  readonly image: string | undefined;
  /** Tail latency objective of a serving task in milliseconds; 0 means none. */
  readonly latencyTargetMs: number;
  /** Uses only capacity that no other task needs. */
  readonly isFiller: boolean;
  /** Disruption budget: maximum number of tasks that the system may make unavailable at once. */
  readonly disruptionBudget: number;
}

/** Work submitted by a client. */
export interface Submission {
  readonly spec: string;
  readonly steps: readonly Step[];
  /** Number of scheduled repetitions; 0 means one immediate run. */
  readonly iterations: number;
  /** Due time of the first repetition in Unix milliseconds. */
  readonly firstRunAt: number;
  readonly intervalMs: number;
}

/** An accepted submission in the store. */
export interface StoredJob {
  readonly id: string;
  readonly route: string;
  /** Empty when a public route was used without a key. */
  readonly team: TeamName;
  /** Unix milliseconds. */
  readonly acceptedAt: number;
  readonly submission: Submission;
}

/** State of a submission as reported to callers. */
export enum JobState {
  Pending = 'pending',
  Running = 'running',
  Completed = 'completed',
  Failed = 'failed',
  Cancelled = 'cancelled',
}

/** Reason for the end of a run. */
export enum EndKind {
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  LeaseExpired = 'lapsed',
  /** Another member of the gang ended. */
  GangMemberEnded = 'broken',
  /** The other members of the gang did not start in time. */
  GangIncomplete = 'alone',
}
