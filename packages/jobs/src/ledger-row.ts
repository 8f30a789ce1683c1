import type { JobState } from '@currantgap/model';
import type { Job } from './job.ts';

/** Progress of one open occurrence, keyed by `STEP.INDEX` where it names tasks. */
interface OccurrenceRow {
  /** Done tasks of each step as a bit set in hexadecimal. */
  readonly done: readonly string[];
  /** Numbers of the runs that failed. */
  readonly failedRuns?: Readonly<Record<string, readonly number[]>>;
  readonly checkpoints?: Readonly<Record<string, string>>;
}

/** Progress of a job as the ledger keeps it. */
interface LedgerRow {
  readonly state: JobState;
  readonly endedAt?: number;
  readonly doneOccurrences?: readonly number[];
  readonly open?: Readonly<Record<string, OccurrenceRow>>;
}

/** Encodes what must survive the owner: done tasks, failed runs, checkpoints and the state. */
export function encodeLedgerRow(job: Job): string {
  const row: LedgerRow = {
    state: job.state,
    ...(job.endedAt > 0 ? { endedAt: job.endedAt } : {}),
    ...(job.doneOccurrences.size > 0 ? { doneOccurrences: [...job.doneOccurrences] } : {}),
    ...(job.isEnded ? {} : { open: encodeOpen(job) }),
  };
  return JSON.stringify(row);
}

/** Applies a ledger row to a job that was just read. Throws on a row that is no JSON. */
export function applyLedgerRow(job: Job, value: string): void {
  const row = JSON.parse(value) as LedgerRow;
  job.state = row.state;
  job.storedState = row.state;
  job.endedAt = row.endedAt ?? 0;
  for (const number of row.doneOccurrences ?? []) job.doneOccurrences.add(number);
  for (const [number, open] of Object.entries(row.open ?? {})) {
    applyOccurrence(job, Number(number), open);
  }
}

/** Reads just the state out of a ledger row. */
export function readLedgerState(value: string): JobState {
  return (JSON.parse(value) as LedgerRow).state;
}

function encodeOpen(job: Job): Record<string, OccurrenceRow> {
  const open: Record<string, OccurrenceRow> = {};
  for (const occurrence of job.occurrences.values()) {
    const failedRuns: Record<string, readonly number[]> = {};
    const checkpoints: Record<string, string> = {};
    for (const step of occurrence.steps) {
      for (const task of step.tasks) {
        const place = `${step.index}.${task.index}`;
        if (task.failures > 0 && !task.isDone) failedRuns[place] = [...task.failedRuns];
        if (task.checkpoint !== '' && !task.isDone) checkpoints[place] = task.checkpoint;
      }
    }
    open[String(occurrence.number)] = {
      done: occurrence.steps.map((step) => encodeBits(step.tasks.map((task) => task.isDone))),
      ...(Object.keys(failedRuns).length > 0 ? { failedRuns } : {}),
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
      const place = `${step.index}.${task.index}`;
      for (const run of row.failedRuns?.[place] ?? []) task.failedRuns.add(run);
      task.checkpoint = row.checkpoints?.[place] ?? '';
      if (((bits >> BigInt(task.index)) & 1n) === 0n || task.isDone) continue;
      task.isDone = true;
      step.openTasks -= 1;
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
