import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { AttemptPhase } from '@currantgap/jobs';
import { EndKind, JobState } from '@currantgap/model';
import { Orders, takeRunNumber } from '../src/orders.ts';
import { StartOutcome } from '../src/ports.ts';
import { Reports } from '../src/reports.ts';
import type { TargetRecord } from '../src/target-record.ts';
import { createEnded, createReport, createRunning, TermHarness } from './term-harness.ts';

function createParts(harness = new TermHarness()): {
  harness: TermHarness;
  orders: Orders;
  reports: Reports;
  target: TargetRecord;
} {
  const orders = new Orders(harness.context);
  const reports = new Reports(harness.context, orders);
  return { harness, orders, reports, target: harness.addTarget('t1') };
}

function start(parts: ReturnType<typeof createParts>, outcome = StartOutcome.Accepted) {
  const { harness, orders, target } = parts;
  const job = harness.addJob('0000000000000001', [{}]);
  const task = job.openOccurrence(0).steps[0]?.tasks[0];
  assert.ok(task);
  orders.start(task, target, takeRunNumber(harness.context, task));
  const [attempt] = task.attempts;
  assert.ok(attempt);
  orders.applyStarted(target, { task, attempt }, outcome);
  return { job, task, attempt };
}

describe('reports of a target', () => {
  describe('on a run that ended', () => {
    it('finish the job, and the ends wait for the ledger', () => {
      const parts = createParts();
      const { job, task, attempt } = start(parts);
      const ended = [createEnded(1, task.name, attempt.run, EndKind.Done)];
      const generation = parts.reports.apply(
        parts.target,
        createReport({ ended }),
        parts.harness.now,
      );
      assert.equal(job.state, JobState.Completed);
      assert.ok(generation > 0);
      assert.equal(parts.target.acknowledgedThrough, 0);
      assert.equal(parts.target.used.cpuMillis, 0);
    });

    it('are applied once, however often they are listed', () => {
      const parts = createParts();
      const { job, task, attempt } = start(parts);
      const ended = [createEnded(1, task.name, attempt.run, EndKind.Failed)];
      parts.reports.apply(parts.target, createReport({ ended }), parts.harness.now);
      parts.reports.apply(parts.target, createReport({ ended }), parts.harness.now);
      assert.equal(task.failures, 1);
      assert.equal(job.state, JobState.Pending);
    });

    it('fail the job when its attempts are used up', () => {
      const parts = createParts();
      const { job, task, attempt } = start(parts);
      const ended = [1, 2].map((n) => createEnded(n, task.name, attempt.run + n, EndKind.Failed));
      parts.reports.apply(parts.target, createReport({ ended }), parts.harness.now);
      assert.equal(job.state, JobState.Failed);
    });

    it('count a done end of an earlier term', () => {
      const parts = createParts();
      const job = parts.harness.addJob('0000000000000002', [{}], true);
      const ended = [createEnded(4, '0000000000000002.0.0.0', 3, EndKind.Done)];
      parts.reports.apply(parts.target, createReport({ ended }), parts.harness.now);
      assert.equal(job.state, JobState.Completed);
    });
  });

  describe('on a run that goes on', () => {
    it('adopt what an earlier term started', () => {
      const parts = createParts();
      const job = parts.harness.addJob('0000000000000003', [{}], true);
      const running = [createRunning('0000000000000003.0.0.0', 9)];
      parts.reports.apply(parts.target, createReport({ running }), parts.harness.now);
      assert.equal(job.listAttempts().length, 1);
      assert.ok(job.hasStarted);
    });

    it('stop the older of two runs of one task', () => {
      const parts = createParts();
      const { task } = start(parts);
      const other = parts.harness.addTarget('t2');
      const running = [createRunning(task.name, 3)];
      parts.reports.apply(other, createReport({ running }), parts.harness.now);
      assert.deepEqual(
        parts.harness.targetPort.stops.map(({ target, run }) => [target, run]),
        [['t2', 3]],
      );
    });
  });

  describe('on a start that got no answer', () => {
    it('take the run as running when it is listed', () => {
      const parts = createParts();
      const { task, attempt } = start(parts, StartOutcome.Unknown);
      const running = [createRunning(task.name, attempt.run)];
      parts.harness.advance(10);
      parts.reports.apply(parts.target, createReport({ running }), parts.harness.now);
      assert.equal(attempt.phase, AttemptPhase.Running);
      assert.deepEqual(parts.harness.targetPort.stops, []);
    });

    it('keep the task from starting elsewhere until a stop was answered and a later report lacks it', () => {
      const parts = createParts();
      const { harness, orders, reports, target } = parts;
      const { task, attempt } = start(parts, StartOutcome.Unknown);
      harness.advance(10);
      reports.apply(target, createReport(), harness.now);
      assert.equal(harness.targetPort.stops.length, 1);
      assert.ok(task.isActive);
      harness.advance(10);
      orders.applyStopped(target, { task, attempt }, harness.targetPort.stopOutcome);
      reports.apply(target, createReport(), harness.now - 5);
      assert.ok(task.isActive, 'the report was asked for before the stop was answered');
      harness.advance(10);
      reports.apply(target, createReport(), harness.now);
      assert.equal(task.isActive, false);
    });
  });

  describe('of another lifetime', () => {
    it('end what ran before and count its ends anew', () => {
      const parts = createParts();
      const { task } = start(parts);
      const { harness, reports, target } = parts;
      reports.apply(
        target,
        createReport({ running: [createRunning(task.name, 10_001)] }),
        harness.now,
      );
      target.seenThrough = 40;
      target.acknowledgedThrough = 40;
      harness.advance(10);
      reports.apply(target, createReport({ bornAt: 2 }), harness.now);
      assert.equal(task.isActive, false);
      assert.deepEqual([target.seenThrough, target.acknowledgedThrough], [0, 0]);
    });
  });
});
