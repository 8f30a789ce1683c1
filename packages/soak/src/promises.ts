import type { RunBook, RunRecord } from '@currantgap/standins';

/** What a caller saw of one submission. */
export interface Sent {
  readonly id: string;
  /** Tasks of each step, one step after the other. */
  readonly counts: readonly number[];
  /** It got an answer that promises that it never runs, and no other after it. */
  readonly isRefused: boolean;
  /** Steady instant at which a cancel was acknowledged; undefined without one. */
  readonly cancelledAt: number | undefined;
  /** Last state that was shown; undefined where none was. */
  readonly state: string | undefined;
}

/** Milliseconds after an acknowledged cancel in which runs may still start. */
const CANCEL_MS = 4_000;

/** Checks what callers and targets saw; returns a line for each broken promise. */
export function findBroken(sent: readonly Sent[], book: RunBook): string[] {
  const broken = book.findDoubles().map((task) => `task ${task} ran twice`);
  for (const submission of sent) broken.push(...checkSubmission(submission, book));
  return broken;
}

function checkSubmission(sent: Sent, book: RunBook): string[] {
  const runs = book.listOf(sent.id);
  const { id, isRefused, cancelledAt, state } = sent;
  const broken: string[] = [];
  if (isRefused && runs.length > 0) broken.push(`${id} was refused and ran`);
  if (cancelledAt !== undefined) {
    const late = runs.some(({ startedAt }) => startedAt > cancelledAt + CANCEL_MS);
    if (late) broken.push(`${id} started a task after its cancel`);
  } else if (!isRefused && state !== 'completed') {
    broken.push(`${id} was accepted and is ${state ?? 'not known'}`);
  }
  if (state === 'completed') {
    const done = new Set(runs.filter(({ how }) => how === 'done').map(({ task }) => task));
    const tasks = sent.counts.reduce((sum, count) => sum + count, 0);
    if (done.size < tasks) broken.push(`${id} is completed with ${done.size} of ${tasks} tasks`);
  }
  return [...broken, ...checkOrder(sent, runs)];
}

/** A step starts after all tasks of the one before it are done. */
function checkOrder({ id, counts }: Sent, runs: readonly RunRecord[]): string[] {
  const broken: string[] = [];
  for (const step of counts.keys()) {
    const starts = listOfStep(runs, id, step + 1).map(({ startedAt }) => startedAt);
    if (starts.length === 0) continue;
    const first = Math.min(...starts);
    const done = listOfStep(runs, id, step).filter(
      ({ how, endedAt }) => how === 'done' && (endedAt ?? Infinity) <= first,
    );
    const tasks = new Set(done.map(({ task }) => task)).size;
    if (tasks < (counts[step] ?? 0)) broken.push(`${id} began step ${step + 1} too early`);
  }
  return broken;
}

function listOfStep(runs: readonly RunRecord[], id: string, step: number): RunRecord[] {
  return runs.filter(({ task }) => task.startsWith(`${id}.0.${step}.`));
}
