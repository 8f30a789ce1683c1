import type { JobState } from '@currantgap/model';
import type { Job } from './job.ts';

/** Stored progress of one open occurrence; its records are keyed by task, as `STEP.INDEX`. */
interface OccurrenceRow {
  /** Done tasks of each step as a hexadecimal bit set; bit n is the task with index n. */
  readonly done: readonly string[];
  /** Numbers of the failed runs of each task. */
  readonly failedRuns?: Readonly<Record<string, readonly number[]>>;
  /** Incarnations of targets that crashed under each task. */
  readonly crashedOn?: Readonly<Record<string, readonly string[]>>;
  readonly checkpoints?: Readonly<Record<string, string>>;
}

/** Stored progress of a job. */
interface LedgerRow {
  readonly state: JobState;
  /** False if no task has begun, as where only the crash of a target that was ordered to is stored. */
  readonly hasStarted?: boolean;
  readonly endedAt?: number;
  readonly doneOccurrences?: readonly number[];
  readonly open?: Readonly<Record<string, OccurrenceRow>>;
}

/**
 * Encodes what must survive a take-over: done tasks, failed runs, crashes, checkpoints and the state.
 */
export function encodeLedgerRow(job: Job): string {
  const row: LedgerRow = {
    state: job.state,
    ...(job.hasStarted ? {} : { hasStarted: false }),
    ...(job.endedAt > 0 ? { endedAt: job.endedAt } : {}),
    ...(job.doneOccurrences.size > 0 ? { doneOccurrences: [...job.doneOccurrences] } : {}),
    ...(job.isEnded ? {} : { open: encodeOpenOccurrences(job) }),
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
  for (const number of row.doneOccurrences ?? []) job.doneOccurrences.add(number);
  for (const [number, open] of Object.entries(row.open ?? {})) {
    applyOccurrence(job, Number(number), open);
  }
}

/** Reads only the state from a ledger row. Throws SyntaxError if the row is not JSON. */
export function readLedgerState(value: string): JobState {
  return (JSON.parse(value) as LedgerRow).state;
}

function encodeOpenOccurrences(job: Job): Record<string, OccurrenceRow> {
  const open: Record<string, OccurrenceRow> = {};
  for (const occurrence of job.occurrences.values()) {
    const failedRuns: Record<string, readonly number[]> = {};
    const crashedOn: Record<string, readonly string[]> = {};
    const checkpoints: Record<string, string> = {};
    for (const step of occurrence.steps) {
      for (const task of step.tasks) {
        const taskKey = `${step.index}.${task.index}`;
        if (task.failures > 0 && !task.isDone) failedRuns[taskKey] = [...task.failedRuns];
        if (task.isSuspect && !task.isDone) crashedOn[taskKey] = [...task.crashedOn];
        if (task.checkpoint !== '' && !task.isDone) checkpoints[taskKey] = task.checkpoint;
      }
    }
    open[String(occurrence.number)] = {
      done: occurrence.steps.map((step) => encodeBits(step.tasks.map((task) => task.isDone))),
      ...(Object.keys(failedRuns).length > 0 ? { failedRuns } : {}),
      ...(Object.keys(crashedOn).length > 0 ? { crashedOn } : {}),
      ...(Object.keys(checkpoints).length > 0 ? { checkpoints } : {}),
    };
  }
  return open;
}

function applyOccurrence(job: Job, number: number, row: OccurrenceRow): void {
  const occurrence = job.openOccurrence(number);
  for (const step of occurrence.steps) {
    const bits = BigInt(`0x${row.done[step.index] ?? '0'}`);
    for (const task of step.tasks) {
      const taskKey = `${step.index}.${task.index}`;
      for (const run of row.failedRuns?.[taskKey] ?? []) task.failedRuns.add(run);
      for (const target of row.crashedOn?.[taskKey] ?? []) task.crashedOn.add(target);
      task.checkpoint = row.checkpoints?.[taskKey] ?? '';
      if (((bits >> BigInt(task.index)) & 1n) === 0n || task.isDone) continue;
      task.isDone = true;
      step.openTaskCount -= 1;
    }
  }
}

function encodeBits(flags: readonly boolean[]): string {
  let bits = 0n;
  for (const [position, flag] of flags.entries()) {
    if (flag) bits |= 1n << BigInt(position);
  }
  return bits.toString(16);
}
