import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { AttemptPhase } from '@currantgap/jobs';
import { EndKind, JobState } from '@currantgap/model';
import { CopyOutcome } from '../src/copy-log.ts';
import { JobLookup } from '../src/job-lookup.ts';
import { OrderOutcome, StartOutcome } from '../src/ports.ts';
import { ReportProcessor } from '../src/report-processor.ts';
import { buildAttempt, RunOrders } from '../src/run-orders.ts';
import type { TargetRecord } from '../src/target-record.ts';
import { computeUnreportedRuns } from '../src/unreported-runs.ts';
import {
  CORE,
  createEnded,
  createReport,
  createRunning,
  flushPromises,
  TermHarness,
} from './term-harness.ts';
import { CopyHarness } from './copy-harness.ts';
import { LossReason } from '../src/unlisted-runs.ts';

const ID = '0000000000000001';

describe('a straggler', () => {
  describe('on a slow target', () => {
    it('gets one copy, on another rack before the same one', () => {
      const harness = new CopyHarness();
      harness.addTarget('t3');
      harness.copy();
      harness.planLater();
      assert.deepEqual(harness.starts, ['t1', 't2']);
      const runs = harness.targetPort.starts.map(({ run }) => run);
      assert.ok((runs[0] ?? 0) < (runs[1] ?? 0));
    });

    it('gets none before it is overdue, or if it is likely to end soon', () => {
      const harness = new CopyHarness();
      harness.addTarget('t2');
      harness.planLater();
      harness.straggle(95);
      harness.plan();
      assert.deepEqual(harness.starts, ['t1']);
    });

    it('gets none before the target was asked how far it is, which happens once', () => {
      const harness = new CopyHarness();
      harness.addTarget('t2');
      harness.report(harness.slow, 1);
      harness.advance(2_000);
      harness.plan();
      harness.planLater();
      assert.deepEqual(harness.starts, ['t1']);
      assert.deepEqual(harness.askedTargets, ['t1']);
      harness.slow.unansweredCalls = 1;
      harness.planLater();
      assert.deepEqual(harness.starts, ['t1', 't2']);
    });

    it('gets none on a target that is as slow', () => {
      const harness = new CopyHarness();
      const other = harness.addTarget('t2');
      for (let count = 0; count < 30; count += 1) other.health.recordSuccess(7);
      harness.straggle();
      harness.plan();
      assert.deepEqual(harness.starts, ['t1']);
    });
  });

  // Guards what must run once, or in one piece: copies are for steps that allow duplicates.
  for (const step of [{ allowsDuplicates: false }, { isGang: true }, { isFiller: true }]) {
    it(`gets no copy in a step with ${JSON.stringify(step)}`, () => {
      const harness = new CopyHarness(step);
      harness.addTarget('t2');
      harness.straggle();
      harness.plan();
      assert.deepEqual(harness.starts, ['t1']);
    });
  }

  it('gets no copy if a target has crashed under it, or if one more failure fails its job', () => {
    for (const harm of ['crashedOn', 'failedRuns'] as const) {
      const harness = new CopyHarness();
      harness.addTarget('t2');
      if (harm === 'crashedOn') harness.task.recordCrash('t9@1');
      else harness.task.recordFailedRun(1);
      harness.straggle();
      harness.plan();
      assert.deepEqual(harness.starts, ['t1']);
    }
  });

  describe('of a heavy tail', () => {
    it('gets a copy when the other tasks of its step are done', () => {
      const harness = new CopyHarness({ count: 4 });
      harness.addTarget('t2');
      harness.advance(1_000);
      const { name, step } = harness.task;
      const running = harness.task.attempts.map(({ run }) => createRunning(name, run));
      const ended = step.tasks.slice(1).map((task, index) => {
        return createEnded(index + 1, task.name, task.attempts[0]?.run ?? 0, EndKind.Done);
      });
      harness.processor.apply(harness.slow, createReport({ running, ended }), harness.now);
      harness.advance(1_000);
      harness.report(harness.slow, 30);
      harness.plan();
      assert.deepEqual(harness.starts, ['t1', 't2']);
    });

    it('gets none once a report has listed its end', () => {
      const harness = new CopyHarness();
      harness.addTarget('t2');
      harness.straggle();
      harness.slow.unappliedTasks = new Set([harness.task.name]);
      harness.plan();
      assert.deepEqual(harness.starts, ['t1']);
    });
  });

  describe('in a pool without room', () => {
    it('gets no copy', () => {
      const harness = new CopyHarness();
      harness.addTarget('t2').used.add({ cpuMillis: 4 * CORE, memoryMb: 0, gpus: 0 });
      harness.straggle();
      harness.plan();
      assert.deepEqual(harness.starts, ['t1']);
    });
  });

  describe('in a pool with waiting work', () => {
    it('gets no copy, even where there is room for it', () => {
      const harness = new CopyHarness();
      harness.addTarget('t2');
      const wide = { cpuMillis: 5 * CORE, memoryMb: 1, gpus: 0 };
      harness.addJob('0000000000000002', [{ request: wide }]);
      harness.straggle();
      harness.plan();
      assert.deepEqual(harness.starts, ['t1']);
    });
  });

  describe('with the budget used up', () => {
    it('gets no copy', () => {
      const harness = new CopyHarness({ count: 2 });
      harness.addTarget('t2');
      harness.advance(2_000);
      const running = harness.task.step.tasks.map(({ name, attempts }) => ({
        ...createRunning(name, attempts[0]?.run ?? 0),
        percent: 30,
      }));
      harness.processor.apply(harness.slow, createReport({ running }), harness.now);
      harness.plan();
      const attempts = harness.task.step.tasks.map((task) => task.attempts.length);
      assert.deepEqual(attempts.sort(), [1, 2]);
    });
  });

  describe('of a team at its cap', () => {
    it('gets no copy', () => {
      const harness = new CopyHarness({}, { cpuMillis: CORE, memoryMb: 0, gpus: 0 });
      harness.addTarget('t2');
      harness.straggle();
      harness.plan();
      assert.deepEqual(harness.starts, ['t1']);
    });
  });
});

describe('a task with a copy', () => {
  it('is done when the copy is, and the original is stopped', () => {
    const harness = new CopyHarness();
    harness.end(harness.copy(), EndKind.Done);
    assert.equal(harness.task.step.job.state, JobState.Completed);
    assert.deepEqual(
      harness.targetPort.stops.map(({ target }) => target),
      ['t1'],
    );
    harness.planLater();
    assert.deepEqual(harness.outcomes, [CopyOutcome.Started, CopyOutcome.Won]);
    assert.ok(harness.slow.slowness > 1);
  });

  it('counts one end if both runs end at once', () => {
    const harness = new CopyHarness();
    const other = harness.copy();
    harness.end(harness.slow, EndKind.Done);
    const { doneRun } = harness.task;
    harness.end(other, EndKind.Done);
    assert.equal(harness.task.doneRun, doneRun);
    assert.equal(harness.task.step.openTaskCount, 0);
    assert.equal(harness.fleet.getRunning('kurzeme').cpuMillis, 0);
    harness.planLater();
    assert.deepEqual(harness.outcomes, [CopyOutcome.Started, CopyOutcome.Lost]);
  });

  it('keeps the room of the other run while its stop is unanswered, and starts nothing', async () => {
    const harness = new CopyHarness();
    harness.targetPort.stopOutcome = OrderOutcome.Unknown;
    harness.end(harness.copy(), EndKind.Done);
    await flushPromises();
    harness.planLater();
    assert.equal(harness.slow.used.cpuMillis, CORE);
    assert.equal(harness.fleet.getRunning('kurzeme').cpuMillis, CORE);
    assert.deepEqual(harness.starts, ['t1', 't2']);
    harness.end(harness.slow, EndKind.Stopped);
    assert.equal(harness.slow.used.cpuMillis, 0);
  });

  it('goes on with the other run if one fails or is lost, without a third', () => {
    const harness = new CopyHarness();
    const other = harness.copy();
    harness.end(other, EndKind.Failed);
    harness.planLater();
    assert.equal(harness.task.failures, 1);
    assert.deepEqual(harness.starts, ['t1', 't2']);

    const lost = new CopyHarness();
    const survivor = lost.copy();
    lost.processor.recordAllLost(lost.slow, LossReason.LeasesExpired);
    lost.planLater();
    assert.deepEqual(lost.starts, ['t1', 't2']);
    lost.end(survivor, EndKind.Done);
    assert.equal(lost.task.step.job.state, JobState.Completed);
  });

  it('gets no third run while two are active, nor after its copy was stopped', () => {
    const harness = new CopyHarness();
    const other = harness.copy();
    harness.raiseBudget();
    harness.report(harness.slow, 10);
    harness.planLater();
    harness.end(other, EndKind.Stopped);
    harness.planLater();
    assert.deepEqual(harness.starts, ['t1', 't2']);
    assert.equal(harness.task.attempts.length, 1);
  });

  it('may get another copy only if the first one was refused', () => {
    const harness = new CopyHarness();
    const other = harness.addTarget('t2');
    harness.straggle();
    harness.plan();
    const copy = harness.task.attempts.at(-1);
    assert.ok(copy);
    const assignment = { task: harness.task, attempt: copy };
    harness.orders.applyStartOutcome(other, assignment, StartOutcome.NoCapacity);
    harness.addTarget('t3');
    harness.raiseBudget();
    harness.planLater();
    assert.deepEqual(harness.outcomes, [
      CopyOutcome.Started,
      CopyOutcome.Lost,
      CopyOutcome.Started,
    ]);
    assert.deepEqual(harness.starts, ['t1', 't2', 't3']);
  });

  it('keeps the checkpoint of the run that has progressed further', () => {
    const harness = new CopyHarness({ isCheckpointing: true });
    const other = harness.copy();
    const [original, copy] = harness.task.attempts;
    assert.ok(original && copy);
    const list = (target: TargetRecord, run: number, checkpoint: string, percent: number) => {
      const running = [{ ...createRunning(harness.task.name, run), checkpoint, percent }];
      harness.processor.apply(target, createReport({ running }), harness.now);
    };
    list(harness.slow, original.run, 'far', 60);
    list(other, copy.run, 'near', 10);
    assert.equal(harness.task.checkpoint, 'far');
    list(other, copy.run, 'farther', 70);
    assert.equal(harness.task.checkpoint, 'farther');
  });

  describe('after a change of owner', () => {
    it('is adopted with both runs, both count for the cap, and the first end counts', () => {
      const harness = new TermHarness();
      const targets = [harness.addTarget('t1'), harness.addTarget('t2')];
      const job = harness.addJob(ID, [{ allowsDuplicates: true }], true);
      const lookup = new JobLookup(harness.context, harness.store);
      const orders = new RunOrders(harness.context);
      const processor = new ReportProcessor(harness.context, orders, lookup);
      const name = `${ID}.0.0.0`;
      for (const [index, target] of targets.entries()) {
        const running = [createRunning(name, index + 1)];
        processor.apply(target, createReport({ running }), harness.now);
      }
      const task = job.findTask(0, 0, 0);
      assert.equal(task?.attempts.length, 2);
      assert.equal(harness.targetPort.stops.length, 0);
      assert.equal(harness.fleet.getRunning('kurzeme').cpuMillis, 2 * CORE);
      const [first] = targets;
      assert.ok(first);
      const ended = [createEnded(1, name, 1, EndKind.Done)];
      processor.apply(first, createReport({ ended }), harness.now);
      assert.equal(job.state, JobState.Completed);
      const [stop] = harness.targetPort.stops;
      assert.deepEqual([stop?.target, stop?.run], ['t2', 2]);
    });

    // Guards the cap of a team: a copy may still run where no report has come from.
    it('counts the copy of an adopted run on a target without a report toward the cap', () => {
      const harness = new TermHarness();
      const known = harness.addTarget('t1');
      harness.addTarget('t2').reportedAt = undefined;
      harness.context.reconciliation.expectReport({ id: 't2', service: 'kartes' });
      const job = harness.addJob(ID, [{ allowsDuplicates: true }], true);
      const task = job.findTask(0, 0, 0);
      assert.ok(task);
      const attempt = buildAttempt(known, 1, AttemptPhase.Running, harness.now);
      harness.fleet.assign(known, task, attempt);
      assert.equal(computeUnreportedRuns(harness.context).get('kurzeme')?.cpuMillis, CORE);
    });
  });
});
