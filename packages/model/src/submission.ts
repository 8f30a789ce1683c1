import type { TeamName } from './names.ts';
import type { Resources } from './deployment.ts';

/** One step of a submission: `count` like tasks. */
export interface Step {
  readonly count: number;
  readonly request: Resources;
  /** Client's rough estimate of a task's duration. */
  readonly estimatedMs: number;
  /** Indexes of the steps whose tasks must be done first. */
  readonly after: readonly number[];
  readonly isCheckpointing: boolean;
  readonly isGang: boolean;
  readonly isSameRack: boolean;
  readonly requiredLabel: string | undefined;
  readonly dataRack: string | undefined;
  /** Most tasks of the step on one target; 0 means no limit. */
  readonly antiAffinity: number;
  readonly allowsDuplicates: boolean;
  /** Runs until the submission is cancelled. */
  readonly isPersistent: boolean;
  readonly image: string | undefined;
  /** Tail latency in milliseconds that a serving task must keep; 0 means none. */
  readonly latencyTargetMs: number;
  /** Uses only the capacity that other tasks leave. */
  readonly isFiller: boolean;
  /** Disruption budget: tasks that may be away through actions of the system. */
  readonly disruptionBudget: number;
}

/** The work that a client handed in. */
export interface Submission {
  readonly spec: string;
  readonly steps: readonly Step[];
  /** Scheduled repetitions; 0 means the steps run once, at once. */
  readonly iterations: number;
  /** Unix milliseconds at which the first repetition is due. */
  readonly firstRunAt: number;
  readonly intervalMs: number;
}

/** A submission as it is stored when it is accepted. */
export interface StoredJob {
  readonly id: string;
  readonly route: string;
  /** Empty on a public route without a key. */
  readonly team: TeamName;
  /** Unix milliseconds. */
  readonly acceptedAt: number;
  readonly submission: Submission;
}

/** State of a submission as callers see it. */
export enum JobState {
  Pending = 'pending',
  Running = 'running',
  Completed = 'completed',
  Failed = 'failed',
  Cancelled = 'cancelled',
}

/** How a run ended. */
export enum EndKind {
  Done = 'done',
  Failed = 'failed',
  Stopped = 'stopped',
  Lapsed = 'lapsed',
  /** Another member of the gang ended. */
  Broken = 'broken',
  /** The other members of the gang did not come in time. */
  Alone = 'alone',
}
