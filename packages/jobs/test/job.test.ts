import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  applyLedgerRow,
  computeChain,
  decodeStoredJob,
  EMPTY_STEP,
  encodeLedgerRow,
  encodeStoredJob,
  EndEffect,
  Job,
  type TaskRun,
} from '@currantgap/jobs';
import { EndKind, JobState, type Step, type StoredJob, type Submission } from '@currantgap/model';

const STEP: Step = {
  ...EMPTY_STEP,
  count: 2,
  request: { cpuMillis: 1_000, memoryMb: 512, gpus: 0 },
  estimatedMs: 800,
};

function createStored(
  steps: readonly Partial<Step>[],
  schedule: Partial<Submission> = {},
): StoredJob {
  return {
    id: '00000000000000aa',
    route: 'checks',
    team: 'kurzeme',
    acceptedAt: 5,
    submission: {
      spec: 'spec',
      steps: steps.map((step) => ({ ...STEP, ...step })),
      iterations: 0,
      firstRunAt: 0,
      intervalMs: 0,
      ...schedule,
    },
  };
}

function getTask(job: Job, step: number, index: number): TaskRun {
  const task = job.findTask(0, step, index);
  assert.ok(task);
  return task;
}

describe('a job', () => {
  it('opens a step when all tasks of the steps before it are done', () => {
    const job = new Job(createStored([{}, { after: [0] }]));
    assert.deepEqual(
      job.listOpenSteps(0).map(({ index }) => index),
      [0],
    );
    job.applyEnd(getTask(job, 0, 0), 1, EndKind.Done, 2);
    assert.equal(job.applyEnd(getTask(job, 0, 1), 2, EndKind.Done, 2), EndEffect.TaskDone);
    assert.deepEqual(
      job.listOpenSteps(0).map(({ index }) => index),
      [1],
    );
  });

  it('is completed by the end of its last task and by nothing less', () => {
    const job = new Job(createStored([{}]));
    assert.equal(job.applyEnd(getTask(job, 0, 0), 1, EndKind.Done, 2), EndEffect.TaskDone);
    assert.equal(job.applyEnd(getTask(job, 0, 1), 2, EndKind.Stopped, 2), EndEffect.Retry);
    assert.equal(job.applyEnd(getTask(job, 0, 1), 3, EndKind.Done, 2), EndEffect.JobDone);
    assert.equal(job.state, JobState.Completed);
  });

  it('fails when one task has used up its attempts; only failures use them up', () => {
    const job = new Job(createStored([{}]));
    const task = getTask(job, 0, 0);
    for (const kind of [
      EndKind.LeaseExpired,
      EndKind.GangMemberEnded,
      EndKind.Stopped,
      EndKind.Failed,
    ]) {
      assert.equal(job.applyEnd(task, 1, kind, 2), EndEffect.Retry);
    }
    assert.equal(job.applyEnd(task, 5, EndKind.Failed, 2), EndEffect.JobFailed);
    assert.equal(job.state, JobState.Failed);
  });

  it('counts a failed run once, though a successor reads the same end again', () => {
    const stored = createStored([{}, { isGang: true }]);
    const job = new Job(stored);
    job.applyEnd(getTask(job, 0, 0), 20_001, EndKind.Failed, 3);
    job.applyEnd(getTask(job, 1, 0), 20_001, EndKind.Failed, 3);
    const successor = new Job(stored);
    applyLedgerRow(successor, encodeLedgerRow(job));
    for (const step of [0, 1]) {
      const task = getTask(successor, step, 0);
      assert.equal(successor.applyEnd(task, 20_001, EndKind.Failed, 3), EndEffect.Retry);
      assert.equal(task.failures, 1);
      assert.equal(successor.applyEnd(task, 20_007, EndKind.Failed, 3), EndEffect.Retry);
      assert.equal(task.failures, 2);
    }
  });

  it('counts a failed gang once, whatever its members, and a done one as a whole', () => {
    const job = new Job(createStored([{ isGang: true }]));
    job.applyEnd(getTask(job, 0, 0), 1, EndKind.Failed, 2);
    assert.equal(job.applyEnd(getTask(job, 0, 1), 1, EndKind.Failed, 2), EndEffect.Retry);
    assert.equal(job.applyEnd(getTask(job, 0, 0), 2, EndKind.Done, 2), EndEffect.JobDone);
  });

  it('never ends a persistent task, however its runs end', () => {
    const job = new Job(createStored([{ isPersistent: true }]));
    const task = getTask(job, 0, 0);
    for (const kind of [EndKind.Done, EndKind.Failed, EndKind.Failed, EndKind.Failed]) {
      assert.equal(job.applyEnd(task, 1, kind, 2), EndEffect.Retry);
    }
    assert.equal(job.isEnded, false);
  });

  it('opens its occurrences when they are due, not before, and completes with the last', () => {
    const job = new Job(
      createStored([{ count: 1 }], { iterations: 2, firstRunAt: 100, intervalMs: 50 }),
    );
    assert.deepEqual(job.listOpenSteps(99), []);
    assert.equal(job.listOpenSteps(100).length, 1);
    assert.equal(job.listOpenSteps(150).length, 2);
    for (const occurrence of [0, 1]) {
      const task = job.findTask(occurrence, 0, 0);
      assert.ok(task);
      job.applyEnd(task, 1, EndKind.Done, 2);
    }
    assert.equal(job.state, JobState.Completed);
  });

  it('stays as it ended when it is cancelled afterwards', () => {
    const job = new Job(createStored([{ count: 1 }]));
    job.applyEnd(getTask(job, 0, 0), 1, EndKind.Done, 2);
    assert.equal(job.cancel(), false);
    assert.equal(job.state, JobState.Completed);
  });
});

describe('a ledger row', () => {
  it('brings back done tasks, failures and checkpoints', () => {
    const stored = createStored([{ count: 40 }, { after: [0] }]);
    const job = new Job(stored);
    job.applyEnd(getTask(job, 0, 39), 1, EndKind.Done, 3);
    job.applyEnd(getTask(job, 0, 7), 1, EndKind.Failed, 3);
    getTask(job, 0, 8).checkpoint = 'saved';
    const copy = new Job(stored);
    applyLedgerRow(copy, encodeLedgerRow(job));
    assert.ok(getTask(copy, 0, 39).isDone);
    assert.equal(getTask(copy, 0, 7).failures, 1);
    assert.equal(getTask(copy, 0, 8).checkpoint, 'saved');
    assert.equal(copy.openOccurrence(0).steps[0]?.openTasks, 39);
  });

  it('brings back an ended job', () => {
    const stored = createStored([{ count: 1 }]);
    const job = new Job(stored);
    job.applyEnd(getTask(job, 0, 0), 1, EndKind.Done, 2);
    const copy = new Job(stored);
    applyLedgerRow(copy, encodeLedgerRow(job));
    assert.equal(copy.state, JobState.Completed);
    assert.deepEqual(copy.listOpenSteps(0), []);
  });
});

describe('a stored job', () => {
  it('reads back as it was, without its empty fields', () => {
    const stored = createStored([
      { dataRack: 'r1-3', after: [] },
      { after: [0], isGang: true },
    ]);
    const text = encodeStoredJob(stored);
    assert.doesNotMatch(text, /isFiller|latencyTargetMs/);
    assert.deepEqual(decodeStoredJob(text), stored);
  });
});

describe('the longest chain', () => {
  it('follows the steps that wait for each other', () => {
    const steps = [{}, { after: [0], estimatedMs: 500 }, { estimatedMs: 1_000 }].map((step) => ({
      ...STEP,
      ...step,
    }));
    assert.equal(
      computeChain(steps, ({ estimatedMs }) => estimatedMs),
      1_300,
    );
  });
});
