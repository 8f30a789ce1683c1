import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  applyLedgerRow,
  computeCriticalPathMs,
  computeRemainingCriticalPathMs,
  decodeStoredJob,
  STEP_DEFAULTS,
  encodeLedgerRow,
  encodeStoredJob,
  EndEffect,
  Job,
  type TaskRun,
} from '@currantgap/jobs';
import { EndKind, JobState, type Step, type StoredJob, type Submission } from '@currantgap/model';

const STEP: Step = {
  ...STEP_DEFAULTS,
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

describe('Job', () => {
  it('makes a step runnable once all tasks of the steps it depends on are done', () => {
    const job = new Job(createStored([{}, { after: [0] }]));
    assert.deepEqual(
      job.listRunnableSteps(0).map(({ index }) => index),
      [0],
    );
    job.applyRunEnd(getTask(job, 0, 0), 1, EndKind.Done, 2);
    assert.equal(job.applyRunEnd(getTask(job, 0, 1), 2, EndKind.Done, 2), EndEffect.TaskDone);
    assert.deepEqual(
      job.listRunnableSteps(0).map(({ index }) => index),
      [1],
    );
  });

  it('completes when its last task is done, and not before', () => {
    const job = new Job(createStored([{}]));
    assert.equal(job.applyRunEnd(getTask(job, 0, 0), 1, EndKind.Done, 2), EndEffect.TaskDone);
    assert.equal(job.applyRunEnd(getTask(job, 0, 1), 2, EndKind.Stopped, 2), EndEffect.Retry);
    assert.equal(job.applyRunEnd(getTask(job, 0, 1), 3, EndKind.Done, 2), EndEffect.JobDone);
    assert.equal(job.state, JobState.Completed);
  });

  it('fails when a task has used up its attempts, which only failed runs do', () => {
    const job = new Job(createStored([{}]));
    const task = getTask(job, 0, 0);
    for (const kind of [
      EndKind.LeaseExpired,
      EndKind.GangMemberEnded,
      EndKind.Stopped,
      EndKind.Failed,
    ]) {
      assert.equal(job.applyRunEnd(task, 1, kind, 2), EndEffect.Retry);
    }
    assert.equal(job.applyRunEnd(task, 5, EndKind.Failed, 2), EndEffect.JobFailed);
    assert.equal(job.state, JobState.Failed);
  });

  it('counts a failed run once if a new owner reads the same end again after a take-over', () => {
    const stored = createStored([{}, { isGang: true }]);
    const job = new Job(stored);
    job.applyRunEnd(getTask(job, 0, 0), 20_001, EndKind.Failed, 3);
    job.applyRunEnd(getTask(job, 1, 0), 20_001, EndKind.Failed, 3);
    const restored = new Job(stored);
    applyLedgerRow(restored, encodeLedgerRow(job));
    for (const step of [0, 1]) {
      const task = getTask(restored, step, 0);
      assert.equal(restored.applyRunEnd(task, 20_001, EndKind.Failed, 3), EndEffect.Retry);
      assert.equal(task.failures, 1);
      assert.equal(restored.applyRunEnd(task, 20_007, EndKind.Failed, 3), EndEffect.Retry);
      assert.equal(task.failures, 2);
    }
  });

  it('counts a failed run of a gang once for all members and marks a gang done as a whole', () => {
    const job = new Job(createStored([{ isGang: true }]));
    job.applyRunEnd(getTask(job, 0, 0), 1, EndKind.Failed, 2);
    assert.equal(job.applyRunEnd(getTask(job, 0, 1), 1, EndKind.Failed, 2), EndEffect.Retry);
    assert.equal(job.applyRunEnd(getTask(job, 0, 0), 2, EndKind.Done, 2), EndEffect.JobDone);
  });

  it('retries a persistent task however its runs end', () => {
    const job = new Job(createStored([{ isPersistent: true }]));
    const task = getTask(job, 0, 0);
    for (const kind of [EndKind.Done, EndKind.Failed, EndKind.Failed, EndKind.Failed]) {
      assert.equal(job.applyRunEnd(task, 1, kind, 2), EndEffect.Retry);
    }
    assert.equal(job.isEnded, false);
  });

  it('opens each occurrence when it is due and completes with the last one', () => {
    const job = new Job(
      createStored([{ count: 1 }], { iterations: 2, firstRunAt: 100, intervalMs: 50 }),
    );
    assert.deepEqual(job.listRunnableSteps(99), []);
    assert.equal(job.listRunnableSteps(100).length, 1);
    assert.equal(job.listRunnableSteps(150).length, 2);
    for (const occurrence of [0, 1]) {
      const task = job.findTask(occurrence, 0, 0);
      assert.ok(task);
      job.applyRunEnd(task, 1, EndKind.Done, 2);
    }
    assert.equal(job.state, JobState.Completed);
  });

  it('keeps its state when it is cancelled after its end', () => {
    const job = new Job(createStored([{ count: 1 }]));
    job.applyRunEnd(getTask(job, 0, 0), 1, EndKind.Done, 2);
    assert.equal(job.cancel(), false);
    assert.equal(job.state, JobState.Completed);
  });
});

// Review case 5: the memory of an owner and the row of a job are bounded by what is open, not by what is due.
describe('a schedule with many due occurrences', () => {
  const MINUTE_MS = 60_000;

  function createSchedule(iterations: number): Job {
    const schedule = { iterations, firstRunAt: 0, intervalMs: MINUTE_MS };
    return new Job(createStored([{ count: 6 }, { count: 6, after: [0] }], schedule));
  }

  function finishFirst(job: Job): void {
    const [occurrence] = job.occurrences.values();
    const tasks = (occurrence?.steps ?? []).flatMap((step) => step.tasks);
    for (const task of tasks) job.applyRunEnd(task, 1, EndKind.Done, 1);
  }

  it('opens the oldest ones, and another one for each that is done', () => {
    const job = createSchedule(50_000);
    job.openDueOccurrences(50_000 * MINUTE_MS);
    const open = job.occurrences.size;
    assert.ok(open > 1 && open < 1_000);
    finishFirst(job);
    job.openDueOccurrences(50_000 * MINUTE_MS);
    assert.deepEqual([...job.occurrences.keys()].at(-1), open);
    assert.ok(encodeLedgerRow(job).length < 200);
  });

  it('goes on where it was after a change of owner, and completes', () => {
    const total = 5_000;
    const job = createSchedule(total);
    const finish = (owner: Job, count: number): void => {
      for (let done = 0; done < count; done += 1) {
        owner.openDueOccurrences(total * MINUTE_MS);
        finishFirst(owner);
      }
    };
    finish(job, 3_000);
    const successor = createSchedule(total);
    applyLedgerRow(successor, encodeLedgerRow(job));
    assert.equal(successor.doneOccurrences.size, 3_000);
    finish(successor, total - 3_000);
    assert.equal(successor.state, JobState.Completed);
  });

  it('is read from a row of an earlier version, which lists each number', () => {
    const job = createSchedule(10);
    applyLedgerRow(job, '{"state":"running","doneOccurrences":[0,1,2,5],"open":{}}');
    assert.deepEqual(job.doneOccurrences.encode(), [[0, 2], 5]);
  });
});

describe('ledger row', () => {
  it('restores done tasks, failed runs and checkpoints', () => {
    const stored = createStored([{ count: 40 }, { after: [0] }]);
    const job = new Job(stored);
    job.applyRunEnd(getTask(job, 0, 39), 1, EndKind.Done, 3);
    job.applyRunEnd(getTask(job, 0, 7), 1, EndKind.Failed, 3);
    getTask(job, 0, 8).checkpoint = 'saved';
    const restored = new Job(stored);
    applyLedgerRow(restored, encodeLedgerRow(job));
    assert.ok(getTask(restored, 0, 39).isDone);
    assert.equal(getTask(restored, 0, 7).failures, 1);
    assert.equal(getTask(restored, 0, 8).checkpoint, 'saved');
    assert.equal(restored.openOccurrence(0).steps[0]?.openTaskCount, 39);
  });

  it('restores the state of an ended job', () => {
    const stored = createStored([{ count: 1 }]);
    const job = new Job(stored);
    job.applyRunEnd(getTask(job, 0, 0), 1, EndKind.Done, 2);
    const restored = new Job(stored);
    applyLedgerRow(restored, encodeLedgerRow(job));
    assert.equal(restored.state, JobState.Completed);
    assert.deepEqual(restored.listRunnableSteps(0), []);
  });
});

describe('stored job', () => {
  it('omits default values and decodes to an equal job', () => {
    const stored = createStored([
      { dataRack: 'r1-3', after: [] },
      { after: [0], isGang: true },
    ]);
    const text = encodeStoredJob(stored);
    assert.doesNotMatch(text, /isFiller|latencyTargetMs/);
    assert.deepEqual(decodeStoredJob(text), stored);
  });
});

describe('computeCriticalPathMs', () => {
  it('returns the duration of the longest chain of dependent steps', () => {
    const steps = [{}, { after: [0], estimatedMs: 500 }, { estimatedMs: 1_000 }].map((step) => ({
      ...STEP,
      ...step,
    }));
    assert.equal(
      computeCriticalPathMs(steps, ({ estimatedMs }) => estimatedMs),
      1_300,
    );
  });
});

describe('computeRemainingCriticalPathMs', () => {
  it('counts what remains of active tasks, also of those beyond their mean, and all of later steps', () => {
    const job = new Job(createStored([{}, { after: [0], estimatedMs: 500 }]));
    const occurrence = job.openOccurrence(0);
    const [task] = occurrence.steps[0]?.tasks ?? [];
    assert.ok(task);
    const estimate = (step: Step, elapsedMs: number): number =>
      elapsedMs > 800 ? 300 : step.estimatedMs - elapsedMs;
    assert.equal(computeRemainingCriticalPathMs(occurrence, 1_000, estimate), 1_300);
    for (const member of occurrence.steps[0]?.tasks ?? []) {
      member.addAttempt({ startedAt: 1_000 } as TaskRun['attempts'][number]);
    }
    assert.equal(computeRemainingCriticalPathMs(occurrence, 1_600, estimate), 700);
    assert.equal(computeRemainingCriticalPathMs(occurrence, 9_000, estimate), 800);
  });
});
