import type { RunHistory, RunRecord } from '@currantgap/standins';

/** What a caller observed of one submission. */
export interface SubmissionRecord {
  readonly id: string;
  /** Number of tasks of each step; the steps run one after the other. */
  readonly taskCounts: readonly number[];
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

/** Compares what callers and targets observed; returns one line per violated invariant. */
export function findViolations(
  submissions: readonly SubmissionRecord[],
  runHistory: RunHistory,
): string[] {
  const violations = runHistory.findDuplicateTasks().map((task) => `task ${task} ran twice`);
  for (const submission of submissions) violations.push(...checkSubmission(submission, runHistory));
  return violations;
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
