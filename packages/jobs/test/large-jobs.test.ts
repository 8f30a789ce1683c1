import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  applyLedgerRow,
  countConcurrentTasks,
  encodeLedgerRow,
  Job,
  MAXIMUM_TASKS,
  STEP_DEFAULTS,
  type Attempt,
  type StepRun,
} from '@currantgap/jobs';
import { EndKind, type Step } from '@currantgap/model';

const ITERATIONS = 50_000;
const MINUTE_MS = 60_000;
const REQUEST = { cpuMillis: 10, memoryMb: 1, gpus: 0 };

function createJob(iterations: number, ...steps: readonly Partial<Step>[]): Job {
  const submission = { spec: '', iterations, firstRunAt: 0, intervalMs: MINUTE_MS };
  const filled = steps.map((step) => ({ ...STEP_DEFAULTS, count: 1, request: REQUEST, ...step }));
  const stored = { id: '00000000000000aa', route: 'checks', team: 'kurzeme', acceptedAt: 0 };
  return new Job({ ...stored, submission: { ...submission, steps: filled } });
}

function createStep(count: number): StepRun {
  const [step] = createJob(0, { count }).listWaitingSteps(0);
  assert.ok(step);
  return step;
}

/** Starts all tasks that each pass finds; returns their number. */
function startAll(job: Job, passes: number): number {
  let started = 0;
  for (let pass = 0; pass < passes; pass += 1) {
    for (const step of job.listWaitingSteps(ITERATIONS * MINUTE_MS)) {
      const waiting = step.listWaiting(0);
      for (const task of waiting) task.addAttempt({ targetId: 't1' } as Attempt);
      started += waiting.length;
    }
  }
  return started;
}

// Review case 12, LOST: a schedule of a lasting task with 100,000 due occurrences had all of them opened at once, so
// that each owner ended by its heap limit.
describe('a schedule of persistent tasks with many due occurrences', () => {
  it('opens further ones as tasks have started, up to what a job may have at the same time', () => {
    const job = createJob(ITERATIONS, { isPersistent: true });
    job.openDueOccurrences(ITERATIONS * MINUTE_MS);
    const opened = job.occurrences.size;
    assert.ok(opened > 1 && opened <= 2_000, `${opened} occurrences`);
    assert.equal(startAll(job, 1), opened);
    assert.equal(startAll(job, 100), MAXIMUM_TASKS - opened);
    assert.equal(startAll(createJob(5_000, { isPersistent: true }), 10), 5_000);
  });

  it('counts all occurrences of persistent tasks, and one of those that end', () => {
    const count = (...steps: readonly Partial<Step>[]): number =>
      countConcurrentTasks(createJob(1_000, ...steps).stored.submission);
    assert.equal(count({ count: 3, isPersistent: true }), 3_000);
    assert.equal(count({ count: 2 }), 2);
    assert.equal(count({ isPersistent: true }, { count: 2 }), 1_002);
  });
});

// The same class: a submission of a few bytes took an object for each of its tasks in each owner.
describe('a step with many tasks', () => {
  it('has a record of those tasks alone that a pass was given, or of which something is known', () => {
    const step = createStep(17_000);
    const countRecords = ({ records }: StepRun): number => [...records].length;
    assert.equal(countRecords(step), 0);
    for (const limit of [500, 500]) assert.equal(step.listWaiting(0, { limit }).length, limit);
    step.findTask(16_999)?.recordFailedRun(1);
    assert.deepEqual([countRecords(step), step.waitingCount], [501, 17_000]);
    const restored = createStep(17_000);
    applyLedgerRow(restored.job, encodeLedgerRow(step.job));
    assert.equal(countRecords(restored), 1);
    assert.equal(restored.findTask(16_999)?.failures, 1);
  });

  it('lists and counts each task until it is started or done, also if it lost its run or a copy goes on', () => {
    const step = createStep(10);
    const list = (): number[] => step.listWaiting(0, { limit: 3 }).map(({ index }) => index);
    const [first, second] = step.listWaiting(0, { limit: 2 });
    assert.ok(first && second);
    const attempt = { targetId: 't1' } as Attempt;
    first.addAttempt(attempt);
    second.addAttempt(attempt);
    step.job.applyRunEnd(second, 1, EndKind.Done, 1);
    assert.deepEqual(list(), [2, 3, 4]);
    assert.deepEqual(
      [step.waitingCount, step.openTaskCount, step.countAttemptsOn('t1')],
      [8, 9, 2],
    );
    first.removeAttempt(attempt);
    second.removeAttempt(attempt);
    assert.deepEqual(list(), [0, 2, 3]);
    assert.deepEqual(
      [step.waitingCount, step.openTaskCount, step.countAttemptsOn('t1')],
      [9, 9, 0],
    );
    const isIncluded = (name: string): boolean => name.endsWith('.9');
    assert.deepEqual(
      step.listWaiting(0, { isIncluded }).map(({ index }) => index),
      [9],
    );
  });
});
