import type { RunHistory, RunRecord } from '@currantgap/standins';

/** What a caller observed of one submission. */
export interface SubmissionRecord {
  readonly id: string;
  /** Number of tasks of each step; the steps run one after the other. */
  readonly taskCounts: readonly number[];
  /** Whether its tasks run until it is cancelled. */
  readonly isPersistent: boolean;
  /** Whether the caller gave up after a response that guarantees that the submission never runs. */
  readonly isRefused: boolean;
  /** Monotonic time in milliseconds at which it was accepted; undefined if it was not. */
  readonly acceptedAt: number | undefined;
  /** Monotonic time in milliseconds at which a cancel was first sent; undefined without one. */
  readonly cancelSentAt: number | undefined;
  /** Monotonic time in milliseconds at which a cancel was acknowledged; undefined without one. */
  readonly cancelledAt: number | undefined;
  /** Last state that a node reported; undefined if none did. */
  readonly state: string | undefined;
}

/** Milliseconds after an acknowledged cancel during which runs may still start. */
const CANCEL_GRACE_MS = 4_000;
/** Milliseconds after the end of its run by which a persistent task runs again: 6 s and 3 s, as callers expect. */
export const RESTART_MS = 9_000;
/** Milliseconds without a disturbance before callers expect it: those 3 s, and 4 s before them. */
const CALM_MS = 7_000;
/** Milliseconds after the last submission by which callers expect each task to run that can: 14 s and 3 s. */
export const FIRST_RUN_MS = 17_000;

/** Compares what callers and targets observed; returns one line per violated invariant. */
export function findViolations(
  submissions: readonly SubmissionRecord[],
  runHistory: RunHistory,
): string[] {
  const violations = runHistory.findDuplicateTasks().map((task) => `task ${task} ran twice`);
  for (const submission of submissions) violations.push(...checkSubmission(submission, runHistory));
  return violations;
}

/**
 * Checks that persistent tasks run again in time in the calm that begins at `calmFrom`, a monotonic time in
 * milliseconds; returns one line per violation. Guards against tasks that wait although there is room (issue
 * 53, LOST).
 */
export function findIdleTasks(
  submissions: readonly SubmissionRecord[],
  runHistory: RunHistory,
  calmFrom: number,
): string[] {
  const firstDueAt = findLastAcceptance(submissions) + FIRST_RUN_MS;
  return submissions.flatMap(({ id, taskCounts: [count = 0], isPersistent, cancelSentAt }) => {
    const tasks = isPersistent ? [...Array(count).keys()] : [];
    return tasks.flatMap((index) => {
      const task = `${id}.0.0.${index}`;
      const runs = runHistory.listRuns(id).filter((run) => run.task === task);
      const ends = runs.map(({ endedAt = Infinity }) => endedAt + RESTART_MS);
      const starts = [...runs.map(({ startedAt }) => startedAt), cancelSentAt ?? -Infinity];
      return [firstDueAt, ...ends].flatMap((due, run) => {
        const startedAt = starts[run] ?? -Infinity;
        const dueAt = Math.max(due, calmFrom + CALM_MS);
        if (startedAt <= dueAt) return [];
        const times = `at ${Math.round(startedAt)} instead of ${Math.round(dueAt)} ms`;
        const end = run < runs.length ? `run ${run + 1} begins` : 'it is cancelled';
        return [
          `persistent task ${task}: ${end} ${times}, disturbed until ${Math.round(calmFrom)}`,
        ];
      });
    });
  });
}

/** Finds the monotonic time in milliseconds at which the last submission was accepted. */
export function findLastAcceptance(submissions: readonly SubmissionRecord[]): number {
  return Math.max(...submissions.map(({ acceptedAt = -Infinity }) => acceptedAt));
}

function checkSubmission(submission: SubmissionRecord, runHistory: RunHistory): string[] {
  const runs = runHistory.listRuns(submission.id);
  const { id, isRefused, cancelledAt, state } = submission;
  const violations: string[] = [];
  if (isRefused && runs.length > 0) violations.push(`${id} was refused and ran`);
  if (cancelledAt !== undefined) {
    const hasLateStart = runs.some(({ startedAt }) => startedAt > cancelledAt + CANCEL_GRACE_MS);
    if (hasLateStart) violations.push(`${id} started a task after its cancel`);
  } else if (!isRefused && state !== 'completed') {
    violations.push(`${id} was accepted and is ${state ?? 'not known'}`);
  }
  if (state === 'completed') {
    const doneTasks = new Set(
      runs.filter(({ endKind }) => endKind === 'done').map(({ task }) => task),
    );
    const taskCount = submission.taskCounts.reduce((sum, count) => sum + count, 0);
    if (doneTasks.size < taskCount)
      violations.push(`${id} is completed with ${doneTasks.size} of ${taskCount} tasks`);
  }
  return [...violations, ...checkOrder(submission, runs)];
}

/** Checks that each step starts only after all tasks of the previous step are done. */
function checkOrder({ id, taskCounts }: SubmissionRecord, runs: readonly RunRecord[]): string[] {
  const violations: string[] = [];
  for (const step of taskCounts.keys()) {
    const starts = listRunsOfStep(runs, id, step + 1).map(({ startedAt }) => startedAt);
    if (starts.length === 0) continue;
    const firstStart = Math.min(...starts);
    const doneRuns = listRunsOfStep(runs, id, step).filter(
      ({ endKind, endedAt }) => endKind === 'done' && (endedAt ?? Infinity) <= firstStart,
    );
    const doneTaskCount = new Set(doneRuns.map(({ task }) => task)).size;
    if (doneTaskCount < (taskCounts[step] ?? 0))
      violations.push(`${id} began step ${step + 1} too early`);
  }
  return violations;
}

function listRunsOfStep(runs: readonly RunRecord[], id: string, step: number): RunRecord[] {
  return runs.filter(({ task }) => task.startsWith(`${id}.0.${step}.`));
}
