import type { TaskRun } from './task.ts';

/** Crashes of targets under a task, the last one with strong evidence, after which it fails its job. */
const MAXIMUM_CRASHES = 2;
/** Crashes of targets under a task after which it fails its job in any case. */
const MAXIMUM_SUSPECTED_CRASHES = 3;
/** Milliseconds after its start from which a run is not suspected of crashing its target. */
const SUSPICION_MS = 5_000;

/** Milliseconds until a persistent task is started again after the crash that would fail its job. */
const PERSISTENT_DELAY_MS = 15_000;

/** A run that was active on a target when it crashed. */
export interface CrashedRun {
  readonly task: TaskRun;
  /** Whether the target listed the run before the crash. */
  readonly isListed: boolean;
  /** Milliseconds between the start of the run and the last sign of life of the target. */
  readonly ageMs: number;
}

/** What a crash says about the tasks that ran on the target. */
export interface CrashVerdict {
  /** Tasks that may have crashed the target. */
  readonly suspects: readonly TaskRun[];
  /** Tasks that have crashed so many targets that their jobs are to fail. */
  readonly culprits: readonly TaskRun[];
}

/**
 * Decides which tasks may have crashed a target, and records the crash on them. Runs that the target
 * had not listed yet are suspected before all others, because nothing shows that it bore them.
 */
export function recordCrash(incarnation: string, runs: readonly CrashedRun[]): CrashVerdict {
  const recent = runs.filter(({ ageMs }) => ageMs < SUSPICION_MS);
  const unlisted = recent.filter(({ isListed }) => !isListed);
  const suspects = (unlisted.length > 0 ? unlisted : recent).map(({ task }) => task);
  const isCertain = unlisted.length === 1;
  const limit = isCertain ? MAXIMUM_CRASHES : MAXIMUM_SUSPECTED_CRASHES;
  for (const task of suspects) task.recordCrash(incarnation);
  return { suspects, culprits: suspects.filter((task) => task.crashedOn.size >= limit) };
}

/**
 * Computes how long a persistent task that has crashed this many targets is held back. Its job does
 * not fail, because the other tasks of the job are in service; each further crash doubles the delay.
 */
export function computeRestartDelayMs(crashes: number): number {
  return PERSISTENT_DELAY_MS * 2 ** Math.max(0, crashes - MAXIMUM_CRASHES);
}
