import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { AttemptPhase, type Job, type TaskRun } from '@currantgap/jobs';
import { EndKind, JobState } from '@currantgap/model';
import { AdviceCache } from '../src/advice-cache.ts';
import { JobLookup } from '../src/job-lookup.ts';
import { Planner } from '../src/planner.ts';
import { StartOutcome } from '../src/ports.ts';
import { Quarantine } from '../src/quarantine.ts';
import { ReportProcessor } from '../src/report-processor.ts';
import { RunExpiry } from '../src/run-expiry.ts';
import { RunOrders } from '../src/run-orders.ts';
import type { TargetRecord } from '../src/target-record.ts';
import {
  createEnded,
  createReport,
  createRunning,
  createTarget,
  LEASE_MS,
  TermHarness,
} from './term-harness.ts';

const JOB_ID = '0000000000000001';
const OTHER_ID = '0000000000000002';
/** Longer than any lease that the harness grants. */
const LAPSE_MS = 3 * LEASE_MS;

class Scenario {
  readonly harness = new TermHarness();
  readonly orders = new RunOrders(this.harness.context);
  readonly processor = new ReportProcessor(
    this.harness.context,
    this.orders,
    new JobLookup(this.harness.context, this.harness.store),
  );
  readonly #expiry = new RunExpiry(this.harness.context, this.orders, this.processor);
  readonly #planner = new Planner(
    this.harness.context,
    this.orders,
    new AdviceCache(this.harness.context, undefined),
    new Quarantine(this.harness.context.clock, () => undefined),
    { requestReport: () => undefined },
  );

  /** Applies a report that was requested a millisecond after the last event. */
  report(target: TargetRecord, changes: Parameters<typeof createReport>[0]): void {
    this.harness.advance(1);
    this.processor.apply(target, createReport(changes), this.harness.now);
  }

  sweep(): void {
    this.#expiry.sweep();
  }

  /** Lists the starts that a planning pass adds. */
  plan(): string[] {
    const { starts } = this.harness.targetPort;
    const before = starts.length;
    this.#planner.plan();
    return starts.slice(before).map(({ task }) => task);
  }

  /** Starts the only task of a new job; its target has listed the run unless `outcome` is given. */
  start(target: TargetRecord, outcome = StartOutcome.Accepted): { job: Job; task: TaskRun } {
    const job = this.harness.addJob(JOB_ID, [{}]);
    const task = getTask(job);
    this.orders.start(task, target, 10_001);
    const [attempt] = task.attempts;
    assert.ok(attempt);
    this.orders.applyStartOutcome(target, { task, attempt }, outcome);
    const running = [createRunning(task.name, 10_001)];
    if (outcome === StartOutcome.Accepted) this.report(target, { running });
    return { job, task };
  }

  addUnreported(id: string): TargetRecord {
    const { deadline } = this.harness.context.reconciliation;
    const target = this.harness.fleet.register(createTarget(id), deadline);
    assert.ok(target);
    return target;
  }
}

function getTask(job: Job): TaskRun {
  const task = job.openOccurrence(0).steps[0]?.tasks[0];
  assert.ok(task);
  return task;
}

// Review case 1: while the store is down no end is acknowledged, targets list the oldest 500 ends only,
// and runs whose ends came later were taken for lost and started again (TWICE).
describe('a run that a report with more ends than it lists does not contain', () => {
  it('is not lost: its end is applied once it is listed', () => {
    const scenario = new Scenario();
    const target = scenario.harness.addTarget('t1');
    scenario.harness.addTarget('t2');
    const { job, task } = scenario.start(target);
    scenario.report(target, { hasMoreEnds: true });
    assert.ok(task.isActive);
    assert.deepEqual(scenario.plan(), []);
    scenario.report(target, { ended: [createEnded(501, task.name, 10_001, EndKind.Done)] });
    assert.equal(job.state, JobState.Completed);
  });

  it('is lost once a report lists all ends without it', () => {
    const scenario = new Scenario();
    const target = scenario.harness.addTarget('t1');
    const { task } = scenario.start(target);
    scenario.report(target, { hasMoreEnds: true });
    scenario.report(target, {});
    assert.equal(task.isActive, false);
    assert.deepEqual(scenario.plan(), [task.name]);
  });

  it('has not been prevented by a stop: it may have ended before the stop', () => {
    const scenario = new Scenario();
    const target = scenario.harness.addTarget('t1');
    const { task } = scenario.start(target, StartOutcome.Unknown);
    scenario.report(target, {});
    const [attempt] = task.attempts;
    assert.equal(attempt?.phase, AttemptPhase.Uncertain);
    const { stopOutcome } = scenario.harness.targetPort;
    assert.ok(attempt);
    scenario.orders.applyStopOutcome({
      target,
      assignment: { task, attempt },
      knownBornAt: target.bornAt,
      token: target.fence.token,
      outcome: stopOutcome,
    });
    scenario.report(target, { hasMoreEnds: true });
    assert.ok(task.isActive);
  });

  it('is not suspected of a crash of its target: it had ended', () => {
    const scenario = new Scenario();
    const target = scenario.harness.addTarget('t1');
    const { task } = scenario.start(target);
    scenario.report(target, { hasMoreEnds: true });
    scenario.report(target, { bornAt: 2 });
    assert.deepEqual([task.isActive, task.isSuspect], [false, false]);
  });
});

describe('a task of an earlier term, after a report with more ends than it lists', () => {
  function createTakeOver(): { scenario: Scenario; target: TargetRecord; job: Job } {
    const scenario = new Scenario();
    const { harness } = scenario;
    harness.addTarget('t2');
    harness.context.reconciliation.expectReport({ id: 't1', service: 'kartes' });
    const target = scenario.addUnreported('t1');
    const job = harness.addJob(JOB_ID, [{}], true);
    scenario.report(target, { hasMoreEnds: true });
    return { scenario, target, job };
  }

  it('is not started, however long that lasts, before all ends are listed', () => {
    const { scenario, target, job } = createTakeOver();
    const { harness } = scenario;
    assert.deepEqual(scenario.plan(), []);
    harness.clock.advanceTo(harness.context.reconciliation.deadline + 1);
    target.grantLease(LEASE_MS, harness.now);
    scenario.sweep();
    assert.deepEqual(scenario.plan(), []);
    scenario.report(target, { hasMoreEnds: true });
    assert.deepEqual(scenario.plan(), []);
    scenario.report(target, {});
    assert.deepEqual(scenario.plan(), [getTask(job).name]);
  });

  it('is not started either if the predecessor may have started it after this term began', () => {
    const { scenario, target } = createTakeOver();
    const late = scenario.harness.addJob(OTHER_ID, [{}]);
    assert.deepEqual(scenario.plan(), []);
    scenario.report(target, { ended: [createEnded(501, `${OTHER_ID}.0.0.0`, 1, EndKind.Done)] });
    assert.equal(late.state, JobState.Completed);
    assert.deepEqual(scenario.plan(), [`${JOB_ID}.0.0.0`]);
  });

  it('is started once the leases on the target have lapsed, so that its ends no longer count', () => {
    const { scenario, job } = createTakeOver();
    scenario.harness.advance(LAPSE_MS);
    scenario.sweep();
    assert.deepEqual(scenario.plan(), [getTask(job).name]);
  });

  it('does not wait for targets that a report of this term has shown whole before', () => {
    const scenario = new Scenario();
    const { harness } = scenario;
    const target = harness.addTarget('t1');
    harness.addTarget('t2');
    const job = harness.addJob(JOB_ID, [{}], true);
    scenario.report(target, {});
    scenario.report(target, { hasMoreEnds: true });
    assert.deepEqual(scenario.plan(), [getTask(job).name]);
  });
});
