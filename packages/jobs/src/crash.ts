import type { TaskRun } from './task.ts';

/** Crashes of targets that had begun a task, the last one with strong evidence, after which it fails its job. */
const MAXIMUM_CRASHES = 2;
/** Suspected crashes, of `MAXIMUM_CRASHES` targets that had begun the task, after which it fails its job. */
const MAXIMUM_SUSPECTED_CRASHES = 3;
/**
 * Suspected crashes after which a task fails its job although its starts got no answer: it may kill targets
 * before they answer.
 */
const MAXIMUM_UNANSWERED_CRASHES = 4;
/**
 * Crashes of targets before they listed the task, whether or not others crashed with them, after which it fails its
 * job: the protocol allows two starts after three crashes.
 */
const MAXIMUM_UNLISTED_CRASHES = 5;
/** Milliseconds after its start from which a run is not suspected of crashing its target. */
const SUSPICION_MS = 5_000;

/**
 * Milliseconds until a persistent task is started again after two crashes, which may have another cause. Callers
 * expect it 9 s after its last run, of which it takes 4 s until the leases are over and 1 s until it has started.
 */
const DOUBTFUL_DELAY_MS = 4_000;
/** Milliseconds until a persistent task is started again after two crashes if the cause is sure; doubled by each. */
const PERSISTENT_DELAY_MS = 15_000;

/** A run that was active on a target when it crashed. */
export interface CrashedRun {
  readonly task: TaskRun;
  /** Whether the target accepted the start, or listed the run: it may have been down before the start. */
  readonly hasBegun: boolean;
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
  /** Whether only one task can have crashed the target. */
  readonly isCertain: boolean;
  /** Whether the target had listed the suspects before the crash. */
  readonly isListed: boolean;
}

/**
 * Decides which tasks may have crashed a target, and records the crash on them. Runs that the target
 * had not listed yet are suspected before all others, because nothing shows that it bore them.
 */
export function recordCrash(incarnation: string, runs: readonly CrashedRun[]): CrashVerdict {
  const recent = runs.filter(({ ageMs }) => ageMs < SUSPICION_MS);
  const unlisted = recent.filter(({ isListed }) => !isListed);
  const suspected = unlisted.length > 0 ? unlisted : recent;
  const isCertain = unlisted.length === 1;
  for (const { task, hasBegun } of suspected) {
    if (hasBegun) task.recordCrash(incarnation);
    else task.recordUnansweredCrash(incarnation);
  }
  const suspects = suspected.map(({ task }) => task);
  const culprits = findCulprits(suspects, isCertain);
  return { suspects, culprits, isCertain, isListed: unlisted.length === 0 };
}

/** Finds the suspects of a crash that have crashed so many targets by now that their jobs are to fail. */
export function findCulprits(suspects: readonly TaskRun[], isCertain: boolean): TaskRun[] {
  return suspects.filter((task) => isCulprit(task, isCertain));
}

/**
 * Takes a crash back from its suspects, because many targets crashed at that moment, which no task can have caused.
 * Returns those that may all the same have crashed too many targets.
 */
export function withdrawCrash(incarnation: string, verdict: CrashVerdict): TaskRun[] {
  for (const task of verdict.suspects) task.recordSharedCrash(incarnation, verdict.isListed);
  return verdict.suspects.filter(hasCrashedTooOften);
}

/**
 * Computes how long a persistent task that has crashed this many targets is held back. Its job does
 * not fail, because the other tasks of the job are in service; each further crash doubles the delay.
 */
export function computeRestartDelayMs(crashes: number): number {
  if (crashes < MAXIMUM_SUSPECTED_CRASHES) return DOUBTFUL_DELAY_MS;
  return PERSISTENT_DELAY_MS * 2 ** Math.max(0, crashes - MAXIMUM_CRASHES);
}

function isCulprit(task: TaskRun, isCertain: boolean): boolean {
  const { crashedOn, unansweredOn } = task;
  if (hasCrashedTooOften(task)) return true;
  if (crashedOn.size >= MAXIMUM_UNANSWERED_CRASHES) return true;
  const limit = isCertain ? MAXIMUM_CRASHES : MAXIMUM_SUSPECTED_CRASHES;
  return crashedOn.size >= limit && crashedOn.size - unansweredOn.size >= MAXIMUM_CRASHES;
}

/** Whether a task has used up its starts, even if some of the crashes were shared. */
function hasCrashedTooOften({ crashedOn, sharedOn }: TaskRun): boolean {
  return crashedOn.size + sharedOn.size >= MAXIMUM_UNLISTED_CRASHES;
}
