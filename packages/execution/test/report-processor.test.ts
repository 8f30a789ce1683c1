import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { AttemptPhase } from '@currantgap/jobs';
import { EndKind, JobState } from '@currantgap/model';
import { StoreFailure } from '@currantgap/standins';
import { RunOrders, takeRunNumber } from '../src/run-orders.ts';
import { StartOutcome } from '../src/ports.ts';
import { encodeEndedJob, ENDED_TABLE, getIntakePart, INTAKE_TABLE } from '../src/intake-tables.ts';
import { JobLookup } from '../src/job-lookup.ts';
import { ReportProcessor } from '../src/report-processor.ts';
import type { TargetRecord } from '../src/target-record.ts';
import {
  createEnded,
  createReport,
  createRunning,
  flushPromises,
  TermHarness,
} from './term-harness.ts';

function createParts(harness = new TermHarness()): {
  harness: TermHarness;
  orders: RunOrders;
  lookup: JobLookup;
  reportProcessor: ReportProcessor;
  target: TargetRecord;
} {
  const orders = new RunOrders(harness.context);
  const lookup = new JobLookup(harness.context, harness.store);
  const reportProcessor = new ReportProcessor(harness.context, orders, lookup);
  return { harness, orders, lookup, reportProcessor, target: harness.addTarget('t1') };
}

function start(parts: ReturnType<typeof createParts>, outcome = StartOutcome.Accepted) {
  const { harness, orders, target } = parts;
  const job = harness.addJob('0000000000000001', [{}]);
  const task = job.openOccurrence(0).steps[0]?.tasks[0];
  assert.ok(task);
  orders.start(task, target, takeRunNumber(harness.context, task));
  const [attempt] = task.attempts;
  assert.ok(attempt);
  orders.applyStartOutcome(target, { task, attempt }, outcome);
  return { job, task, attempt };
}

describe('ReportProcessor', () => {
  describe('with an ended run', () => {
    it('completes the job and does not acknowledge the end before the ledger is written', () => {
      const parts = createParts();
      const { job, task, attempt } = start(parts);
      const ended = [createEnded(1, task.name, attempt.run, EndKind.Done)];
      const changeNumber = parts.reportProcessor.apply(
        parts.target,
        createReport({ ended }),
        parts.harness.now,
      );
      assert.equal(job.state, JobState.Completed);
      assert.ok(changeNumber > 0);
      assert.equal(parts.target.acknowledgedThrough, 0);
      assert.equal(parts.target.used.cpuMillis, 0);
    });

    it('applies an end once, even if it is reported repeatedly', () => {
      const parts = createParts();
      const { job, task, attempt } = start(parts);
      const ended = [createEnded(1, task.name, attempt.run, EndKind.Failed)];
      parts.reportProcessor.apply(parts.target, createReport({ ended }), parts.harness.now);
      parts.reportProcessor.apply(parts.target, createReport({ ended }), parts.harness.now);
      assert.equal(task.failures, 1);
      assert.equal(job.state, JobState.Pending);
    });

    it('fails the job when the maximum number of attempts is reached', () => {
      const parts = createParts();
      const { job, task, attempt } = start(parts);
      const ended = [1, 2].map((n) => createEnded(n, task.name, attempt.run + n, EndKind.Failed));
      parts.reportProcessor.apply(parts.target, createReport({ ended }), parts.harness.now);
      assert.equal(job.state, JobState.Failed);
    });

    it('completes a job whose run of an earlier term is done', () => {
      const parts = createParts();
      const job = parts.harness.addJob('0000000000000002', [{}], true);
      const ended = [createEnded(4, '0000000000000002.0.0.0', 3, EndKind.Done)];
      parts.reportProcessor.apply(parts.target, createReport({ ended }), parts.harness.now);
      assert.equal(job.state, JobState.Completed);
      assert.ok(job.hasStarted, 'a run that has ended had begun');
    });

    it('does not take a job as begun whose run was stopped, perhaps before it began', () => {
      const parts = createParts();
      const job = parts.harness.addJob('0000000000000002', [{}], true);
      const ended = [createEnded(4, '0000000000000002.0.0.0', 3, EndKind.Stopped)];
      parts.reportProcessor.apply(parts.target, createReport({ ended }), parts.harness.now);
      assert.equal(job.hasStarted, false);
    });
  });

  describe('with an active run', () => {
    it('adopts a run that an earlier term started', () => {
      const parts = createParts();
      const job = parts.harness.addJob('0000000000000003', [{}], true);
      const running = [createRunning('0000000000000003.0.0.0', 9)];
      parts.reportProcessor.apply(parts.target, createReport({ running }), parts.harness.now);
      assert.equal(job.listAttempts().length, 1);
      assert.ok(job.hasStarted);
    });

    it('stops the older of two runs of one task', () => {
      const parts = createParts();
      const { task } = start(parts);
      const other = parts.harness.addTarget('t2');
      const running = [createRunning(task.name, 3)];
      parts.reportProcessor.apply(other, createReport({ running }), parts.harness.now);
      assert.deepEqual(
        parts.harness.targetPort.stops.map(({ target, run }) => [target, run]),
        [['t2', 3]],
      );
    });
  });

  describe('after a start without an answer', () => {
    it('marks the run as running when it is reported', () => {
      const parts = createParts();
      const { task, attempt } = start(parts, StartOutcome.Unknown);
      const running = [createRunning(task.name, attempt.run)];
      parts.harness.advance(10);
      parts.reportProcessor.apply(parts.target, createReport({ running }), parts.harness.now);
      assert.equal(attempt.phase, AttemptPhase.Running);
      assert.deepEqual(parts.harness.targetPort.stops, []);
    });

    it('keeps the task from starting elsewhere until a stop is answered and a later report does not list the run', () => {
      const parts = createParts();
      const { harness, orders, reportProcessor, target } = parts;
      const { task, attempt } = start(parts, StartOutcome.Abandoned);
      harness.advance(10);
      reportProcessor.apply(target, createReport(), harness.now);
      assert.equal(harness.targetPort.stops.length, 1);
      assert.ok(task.isActive);
      harness.advance(10);
      orders.applyStopOutcome({
        target,
        assignment: { task, attempt },
        knownBornAt: target.bornAt,
        token: target.fence.token,
        outcome: harness.targetPort.stopOutcome,
      });
      reportProcessor.apply(target, createReport(), harness.now - 5);
      assert.ok(task.isActive, 'the report was requested before the stop was answered');
      harness.advance(10);
      reportProcessor.apply(target, createReport(), harness.now);
      assert.equal(task.isActive, false);
    });
  });

  describe('from another incarnation', () => {
    it('records earlier runs as lost and restarts the sequence of ended runs', () => {
      const parts = createParts();
      const { task } = start(parts);
      const { harness, reportProcessor, target } = parts;
      reportProcessor.apply(
        target,
        createReport({ running: [createRunning(task.name, 10_001)] }),
        harness.now,
      );
      target.appliedThrough = 40;
      target.acknowledgedThrough = 40;
      harness.advance(10);
      reportProcessor.apply(target, createReport({ bornAt: 2 }), harness.now);
      assert.equal(task.isActive, false);
      assert.deepEqual([target.appliedThrough, target.acknowledgedThrough], [0, 0]);
    });
  });

  describe('with a run of a job that this owner has not read', () => {
    const ID = '00000000000000a1';
    const TASK = `${ID}.0.0.0`;
    const report = createReport({
      running: [createRunning(`${ID}.0.0.1`, 4)],
      ended: [createEnded(1, TASK, 3, EndKind.Done)],
    });

    async function lookUp(parts: ReturnType<typeof createParts>): Promise<void> {
      parts.lookup.sweep();
      await flushPromises();
    }

    it('acknowledges no end and stops nothing while the submission may still arrive', async () => {
      const parts = createParts();
      const { harness, reportProcessor, target } = parts;
      const row = { table: INTAKE_TABLE, part: getIntakePart(ID), key: ID, value: 'any' };
      await harness.store.commit({ conditions: [], puts: [row], removals: [] });
      reportProcessor.apply(target, report, harness.now);
      await lookUp(parts);
      reportProcessor.apply(target, report, harness.now);
      assert.equal(target.appliedThrough, 0);
      assert.ok(target.hasUnappliedEnds);
      assert.deepEqual(harness.targetPort.stops, []);
      harness.addJob(ID, [{ count: 2 }]);
      reportProcessor.apply(target, report, harness.now);
      assert.equal(target.appliedThrough, 1);
      assert.equal(target.assignmentCount, 1);
    });

    it('stops the run and skips the end of a job that was archived in an earlier term', async () => {
      const parts = createParts();
      const { harness, reportProcessor, target } = parts;
      const value = encodeEndedJob({ state: JobState.Cancelled, endedAt: 5 });
      const row = { table: ENDED_TABLE, part: getIntakePart(ID), key: ID, value };
      await harness.store.commit({ conditions: [], puts: [row], removals: [] });
      reportProcessor.apply(target, report, harness.now);
      await lookUp(parts);
      reportProcessor.apply(target, report, harness.now);
      assert.equal(target.appliedThrough, 1);
      assert.equal(target.hasUnappliedEnds, false);
      assert.deepEqual(
        harness.targetPort.stops.map(({ task, run }) => [task, run]),
        [[`${ID}.0.0.1`, 4]],
      );
    });

    it('stops the run of a job whose rows were purged', async () => {
      const parts = createParts();
      const { harness, reportProcessor, target } = parts;
      reportProcessor.apply(target, report, harness.now);
      await lookUp(parts);
      reportProcessor.apply(target, report, harness.now);
      assert.equal(target.appliedThrough, 1);
      assert.equal(harness.targetPort.stops.length, 1);
    });

    it('waits while the store cannot be read', async () => {
      const parts = createParts();
      const { harness, reportProcessor, target } = parts;
      harness.store.failure = StoreFailure.Down;
      reportProcessor.apply(target, report, harness.now);
      await lookUp(parts);
      reportProcessor.apply(target, report, harness.now);
      assert.equal(target.appliedThrough, 0);
      assert.deepEqual(harness.targetPort.stops, []);
    });
  });
});
