import { JobState, type Submission } from '@currantgap/model';
import { countConcurrentTasks, type Job } from './job.ts';
import type { Occurrence } from './occurrence.ts';
import type { StepRun } from './step.ts';
import type { TaskRun } from './task.ts';

/** Begin of a ledger row, which `encodeLedgerRow` writes. */
const STATE_PATTERN = /\{"state":"([a-z]+)"/;
/** Bytes that a task with two failed runs takes, with its key, `"STEP.INDEX":[RUN,RUN],`. */
const BYTES_PER_TASK = 40;
/** Tasks that one hexadecimal digit of a bit set describes. */
const TASKS_PER_DIGIT = 4;

/** Stored progress of one open occurrence; its records are keyed by task, as `STEP.INDEX`. */
interface OccurrenceRow {
  /** Done tasks of each step as a hexadecimal bit set; bit n is the task with index n. */
  readonly done: readonly string[];
  /** Numbers of the failed runs of each task. */
  readonly failedRuns?: Readonly<Record<string, readonly number[]>>;
  /** Incarnations of targets that crashed under each task. */
  readonly crashedOn?: Readonly<Record<string, readonly string[]>>;
  /** Those of `crashedOn` that never answered the start. */
  readonly unansweredOn?: Readonly<Record<string, readonly string[]>>;
  /** Incarnations that crashed together with others before they listed each task. */
  readonly sharedOn?: Readonly<Record<string, readonly string[]>>;
  readonly checkpoints?: Readonly<Record<string, string>>;
}

/** Stored progress of a job. */
interface LedgerRow {
  readonly state: JobState;
  /** False if no task has begun, as where only the crash of a target that was ordered to is stored. */
  readonly hasStarted?: boolean;
  readonly endedAt?: number;
  /** Numbers of done occurrences; a range as its first and last number. */
  readonly doneOccurrences?: readonly (number | readonly [number, number])[];
  /** Open occurrences of which anything is known; the others are as at their begin. */
  readonly open?: Readonly<Record<string, OccurrenceRow>>;
}

/**
 * Encodes what must survive a take-over: done tasks, failed runs, crashes, checkpoints and the state. A
 * row of more than `maximumBytes` is encoded without checkpoints, which only save work.
 */
export function encodeLedgerRow(job: Job, maximumBytes = Infinity): string {
  const row = encodeRow(job, { hasCheckpoints: true });
  if (Buffer.byteLength(row) <= maximumBytes) return row;
  return encodeRow(job, { hasCheckpoints: false });
}

/** Estimates the bytes of a row without checkpoints at most, if no task fails more than twice. */
export function estimateLedgerBytes(submission: Submission): number {
  return countConcurrentTasks(submission) * BYTES_PER_TASK;
}

function encodeRow(job: Job, content: { readonly hasCheckpoints: boolean }): string {
  const row: LedgerRow = {
    state: job.state,
    ...(job.hasStarted ? {} : { hasStarted: false }),
    ...(job.endedAt > 0 ? { endedAt: job.endedAt } : {}),
    ...(job.doneOccurrences.size > 0 ? { doneOccurrences: job.doneOccurrences.encode() } : {}),
    ...(job.isEnded ? {} : { open: encodeOpenOccurrences(job, content) }),
  };
  return JSON.stringify(row);
}

/** Applies a ledger row to a newly decoded job. Throws SyntaxError if the row is not JSON. */
export function applyLedgerRow(job: Job, value: string): void {
  const row = JSON.parse(value) as LedgerRow;
  job.state = row.state;
  job.storedState = row.state;
  job.hasStarted = row.hasStarted ?? true;
  job.endedAt = row.endedAt ?? 0;
  job.doneOccurrences.addEncoded(row.doneOccurrences ?? []);
  for (const [number, open] of Object.entries(row.open ?? {})) {
    applyOccurrence(job, Number(number), open);
  }
}

/**
 * Reads only the state from a ledger row, or from the first part of one that is spread over several rows.
 * Throws SyntaxError if the row does not begin with a state.
 */
export function readLedgerState(value: string): JobState {
  const state = STATE_PATTERN.exec(value)?.[1];
  const known = Object.values(JobState).find((name: string) => name === state);
  if (known === undefined) throw new SyntaxError('a ledger row begins with its state');
  return known;
}

function encodeOpenOccurrences(
  job: Job,
  { hasCheckpoints }: { readonly hasCheckpoints: boolean },
): Record<string, OccurrenceRow> {
  const open: Record<string, OccurrenceRow> = {};
  for (const occurrence of job.occurrences.values()) {
    const failedRuns: Record<string, readonly number[]> = {};
    const crashedOn: Record<string, readonly string[]> = {};
    const unansweredOn: Record<string, readonly string[]> = {};
    const sharedOn: Record<string, readonly string[]> = {};
    const checkpoints: Record<string, string> = {};
    for (const step of occurrence.steps) {
      for (const task of step.records) {
        const taskKey = getTaskKey(task);
        if (task.failures > 0 && !task.isDone) failedRuns[taskKey] = [...task.failedRuns];
        if (task.isSuspect && !task.isDone) crashedOn[taskKey] = [...task.crashedOn];
        if (task.unansweredOn.size > 0 && !task.isDone)
          unansweredOn[taskKey] = [...task.unansweredOn];
        if (task.sharedOn.size > 0 && !task.isDone) sharedOn[taskKey] = [...task.sharedOn];
        if (hasCheckpoints && task.checkpoint !== '' && !task.isDone)
          checkpoints[taskKey] = task.checkpoint;
      }
    }
    const isUntouched =
      occurrence.steps.every((step) => step.doneTasks.size === 0) &&
      [failedRuns, crashedOn, sharedOn, checkpoints].every(
        (tasks) => Object.keys(tasks).length === 0,
      );
    if (isUntouched) continue;
    open[String(occurrence.number)] = {
      done: occurrence.steps.map((step) => encodeBits(step)),
      ...(Object.keys(failedRuns).length > 0 ? { failedRuns } : {}),
      ...(Object.keys(crashedOn).length > 0 ? { crashedOn } : {}),
      ...(Object.keys(unansweredOn).length > 0 ? { unansweredOn } : {}),
      ...(Object.keys(sharedOn).length > 0 ? { sharedOn } : {}),
      ...(Object.keys(checkpoints).length > 0 ? { checkpoints } : {}),
    };
  }
  return open;
}

function applyOccurrence(job: Job, number: number, row: OccurrenceRow): void {
  const occurrence = job.openOccurrence(number);
  for (const step of occurrence.steps) {
    const bits = row.done[step.index] ?? '0';
    for (let index = 0; index < step.count; index += 1)
      if (isBitSet(bits, index)) step.recordDone(index);
  }
  for (const [task, runs] of listTasks(occurrence, row.failedRuns))
    for (const run of runs) task.recordFailedRun(run);
  for (const [task, targets] of listTasks(occurrence, row.crashedOn)) {
    const unansweredOn = new Set(row.unansweredOn?.[getTaskKey(task)]);
    for (const target of targets) {
      if (unansweredOn.has(target)) task.recordUnansweredCrash(target);
      else task.recordCrash(target);
    }
  }
  for (const [task, targets] of listTasks(occurrence, row.sharedOn))
    for (const target of targets) task.recordSharedCrash(target, false);
  for (const [task, checkpoint] of listTasks(occurrence, row.checkpoints))
    task.checkpoint = checkpoint;
}

/** Lists the tasks of which a row has something, each with that; keys that name no task are skipped. */
function listTasks<T>(
  { steps }: Occurrence,
  byTask: Readonly<Record<string, T>> = {},
): (readonly [TaskRun, T])[] {
  return Object.entries(byTask).flatMap(([key, value]) => {
    const [step = Number.NaN, index = Number.NaN] = key.split('.').map(Number);
    const task = steps[step]?.findTask(index);
    return task === undefined ? [] : [[task, value] as const];
  });
}

function getTaskKey({ step, index }: TaskRun): string {
  return `${step.index}.${index}`;
}

/** Encodes the done tasks of a step as a hexadecimal number whose lowest bit is the first task. */
function encodeBits({ count, doneTasks }: StepRun): string {
  if (doneTasks.size === 0) return '0';
  const digits: string[] = [];
  for (let start = 0; start < count; start += TASKS_PER_DIGIT) {
    let digit = 0;
    for (let bit = 0; bit < TASKS_PER_DIGIT; bit += 1)
      if (doneTasks.has(start + bit)) digit += 1 << bit;
    digits.push(digit.toString(16));
  }
  return digits.reverse().join('').replace(/^0+/, '');
}

function isBitSet(bits: string, index: number): boolean {
  const digit = bits[bits.length - 1 - Math.floor(index / TASKS_PER_DIGIT)] ?? '0';
  return ((Number.parseInt(digit, 16) >> (index % TASKS_PER_DIGIT)) & 1) === 1;
}
