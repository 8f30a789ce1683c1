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
import { EndKind, type Step, type Submission } from '@currantgap/model';

const MINUTE_MS = 60_000;
const STEP: Step = {
  ...STEP_DEFAULTS,
  count: 1,
  request: { cpuMillis: 10, memoryMb: 1, gpus: 0 },
  isPersistent: true,
};

function createJob(step: Partial<Step>, schedule: Partial<Submission> = {}): Job {
  const submission = { spec: '', iterations: 0, firstRunAt: 0, intervalMs: MINUTE_MS, ...schedule };
  const steps = [{ ...STEP, ...step }];
  const stored = { id: '00000000000000aa', route: 'checks', team: 'kurzeme', acceptedAt: 0 };
  return new Job({ ...stored, submission: { ...submission, steps } });
}

/** Starts all tasks that a pass finds; returns their number. */
function startWaiting(job: Job, wallNow: number): number {
  const waiting = job.listWaitingSteps(wallNow).flatMap((step) => step.listWaiting(0));
  for (const task of waiting) task.addAttempt({ targetId: 't1', run: 1, startedAt: 0 } as Attempt);
  return waiting.length;
}

function countRecords(step: StepRun): number {
  return [...step.records].length;
}

// Review case 12, LOST: a schedule of a lasting task with 100,000 due occurrences had all of them opened at once, so
// that each owner ended by its heap limit.
describe('a schedule of persistent tasks with many due occurrences', () => {
  const iterations = 50_000;
  const wallNow = iterations * MINUTE_MS;

  it('opens as many as one pass can start, and further ones as those have started', () => {
    const job = createJob({}, { iterations });
    job.openDueOccurrences(wallNow);
    const opened = job.occurrences.size;
    assert.ok(opened > 1 && opened <= 2_000, `${opened} occurrences`);
    assert.equal(startWaiting(job, wallNow), opened);
    job.openDueOccurrences(wallNow);
    assert.equal(job.occurrences.size, 2 * opened);
  });

  it('opens no more tasks than a job may have at the same time', () => {
    const job = createJob({ count: 100 }, { iterations });
    let started = 0;
    for (let pass = 0; pass < 100; pass += 1) started += startWaiting(job, wallNow);
    assert.equal(started, MAXIMUM_TASKS);
    assert.equal(job.occurrences.size, MAXIMUM_TASKS / 100);
  });

  it('runs all tasks of a schedule that is within that limit', () => {
    const job = createJob({}, { iterations: 5_000 });
    let started = 0;
    for (let pass = 0; pass < 10; pass += 1) started += startWaiting(job, wallNow);
    assert.equal(started, 5_000);
  });

  it('counts all occurrences of persistent tasks, and one of those that end', () => {
    const { submission } = createJob({ count: 3 }, { iterations: 1_000 }).stored;
    assert.equal(countConcurrentTasks(submission), 3_000);
    const finite = { ...STEP, count: 2, isPersistent: false };
    assert.equal(countConcurrentTasks({ ...submission, steps: [finite] }), 2);
    assert.equal(countConcurrentTasks({ ...submission, steps: [STEP, finite] }), 1_002);
  });
});

// The same class: a submission of a few bytes took an object for each of its tasks in each owner.
describe('a step with many tasks', () => {
  const count = 17_000;

  it('has a record of those tasks alone that a pass was given, or of which something is known', () => {
    const job = createJob({ count, isPersistent: false });
    const [step] = job.listWaitingSteps(0);
    assert.ok(step);
    assert.equal(countRecords(step), 0);
    assert.equal(step.listWaiting(0, { limit: 500 }).length, 500);
    assert.equal(step.listWaiting(0, { limit: 500 }).length, 500);
    assert.equal(countRecords(step), 500);
    assert.equal(step.waitingCount, count);
    step.findTask(16_999)?.recordFailedRun(1);
    assert.equal(countRecords(step), 501);
    const successor = createJob({ count, isPersistent: false });
    applyLedgerRow(successor, encodeLedgerRow(job));
    const [restored] = successor.listWaitingSteps(0);
    assert.ok(restored);
    assert.equal(countRecords(restored), 1);
    assert.equal(restored.findTask(16_999)?.failures, 1);
  });

  it('lists each task until it is started or done, those that lost their runs by their index', () => {
    const job = createJob({ count: 10, isPersistent: false });
    const [step] = job.listWaitingSteps(0);
    assert.ok(step);
    const list = (limit: number): number[] =>
      step.listWaiting(0, { limit }).map(({ index }) => index);
    const [first, second] = step.listWaiting(0, { limit: 2 });
    assert.ok(first && second);
    const attempt = { targetId: 't1', run: 1 } as Attempt;
    first.addAttempt(attempt);
    job.applyRunEnd(second, 1, EndKind.Done, 1);
    assert.deepEqual(list(3), [2, 3, 4]);
    assert.equal(step.waitingCount, 8);
    assert.equal(step.countAttemptsOn('t1'), 1);
    first.removeAttempt(attempt);
    assert.deepEqual(list(3), [0, 2, 3]);
    assert.equal(step.waitingCount, 9);
    assert.equal(step.countAttemptsOn('t1'), 0);
    const isIncluded = (name: string): boolean => name.endsWith('.9');
    assert.deepEqual(
      step.listWaiting(0, { limit: 3, isIncluded }).map(({ index }) => index),
      [9],
    );
  });

  it('counts a task that is done while a copy of it runs neither as waiting nor as open', () => {
    const job = createJob({ count: 2, isPersistent: false });
    const task = job.findTask(0, 0, 0);
    assert.ok(task);
    const copy = { targetId: 't2', run: 2 } as Attempt;
    task.addAttempt(copy);
    job.applyRunEnd(task, 1, EndKind.Done, 1);
    assert.deepEqual([task.step.waitingCount, task.step.openTaskCount], [1, 1]);
    task.removeAttempt(copy);
    assert.deepEqual([task.step.waitingCount, task.step.openTaskCount], [1, 1]);
  });
});
