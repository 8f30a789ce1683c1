import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { AttemptPhase } from '@currantgap/jobs';
import { EndKind } from '@currantgap/model';
import type { LeaseRow } from '@currantgap/ownership';
import { LATEST_EXECUTION_MS, MAXIMUM_CALL_AGE_MS } from '../src/call-timing.ts';
import { JobLookup } from '../src/job-lookup.ts';
import { OrderOutcome, StartOutcome, type TargetReport } from '../src/ports.ts';
import { ReportProcessor } from '../src/report-processor.ts';
import { RunOrders } from '../src/run-orders.ts';
import { LossReason } from '../src/unlisted-runs.ts';
import {
  createEnded,
  createReport,
  createRunning,
  LEASE_MS,
  MAXIMUM_LEASE_MS,
  PREDECESSOR,
  TermHarness,
} from './term-harness.ts';

/** Milliseconds that pass after each report. */
const ROUND_MS = 10;

/** One task whose start was sent to a target, and the reports of the target's incarnations. */
class Scenario {
  readonly harness;
  readonly orders;
  readonly processor;
  readonly target;
  readonly task;
  readonly attempt;

  constructor(outcome: StartOutcome, predecessor?: LeaseRow) {
    this.harness = new TermHarness(predecessor === undefined ? {} : { predecessor });
    this.orders = new RunOrders(this.harness.context);
    const lookup = new JobLookup(this.harness.context, this.harness.store);
    this.processor = new ReportProcessor(this.harness.context, this.orders, lookup);
    this.target = this.harness.addTarget('t1');
    this.report();
    const job = this.harness.addJob('00000000000000a1', [{}]);
    const task = job.openOccurrence(0).steps[0]?.tasks[0];
    assert.ok(task);
    this.orders.start(task, this.target, 10_001);
    const [attempt] = task.attempts;
    assert.ok(attempt);
    this.task = task;
    this.attempt = attempt;
    this.orders.applyStartOutcome(this.target, { task, attempt }, outcome);
    this.harness.advance(ROUND_MS);
  }

  /** Applies a report that was requested just now with the present token, and lets `ROUND_MS` pass. */
  report(changes: Partial<TargetReport> = {}): void {
    const { harness, processor, target } = this;
    processor.apply(target, createReport(changes), harness.now, target.fence.token);
    harness.advance(ROUND_MS);
  }

  /** Raises the token, as before a request for a report, and applies the report. */
  reportToRaisedToken(changes: Partial<TargetReport> = {}): void {
    this.target.fence.raise(this.harness.context.writer.provenVersion);
    this.report(changes);
  }

  /** Applies the answer to a stop that was sent when an incarnation was known. */
  answerStop(knownBornAt: number): void {
    const { target, task, attempt } = this;
    const assignment = { task, attempt };
    const outcome = OrderOutcome.Accepted;
    const { token } = target.fence;
    this.orders.applyStopOutcome({ target, assignment, knownBornAt, token, outcome });
    this.harness.advance(ROUND_MS);
  }
}

// Case 6 of the second review, TWICE: a start that a process sent late ran on the next incarnation, after
// the task had been started elsewhere because the former incarnation had answered a stop.
describe('a start whose forwarder is lost', () => {
  it('starts nowhere else as long as its call may reach a later incarnation', () => {
    const scenario = new Scenario(StartOutcome.Unknown);
    scenario.report();
    scenario.answerStop(1);
    scenario.report();
    assert.ok(scenario.task.isActive, 'the call may still be under way');
    scenario.harness.advance(MAXIMUM_CALL_AGE_MS);
    scenario.report();
    assert.equal(scenario.task.isActive, false);
  });

  it('is stopped again on the next incarnation, which knows of no stop', () => {
    const scenario = new Scenario(StartOutcome.Abandoned);
    scenario.report();
    scenario.answerStop(1);
    scenario.report({ bornAt: 2, clockMs: 5 });
    assert.ok(scenario.task.isActive);
    assert.equal(scenario.harness.targetPort.stops.length, 2);
    scenario.answerStop(2);
    scenario.report({ bornAt: 2, clockMs: 25 });
    assert.equal(scenario.task.isActive, false);
  });

  it('is not prevented by the late answer of a former incarnation to a stop', () => {
    const scenario = new Scenario(StartOutcome.Abandoned);
    scenario.report();
    scenario.report({ bornAt: 2, clockMs: 5 });
    scenario.answerStop(1);
    scenario.report({ bornAt: 2, clockMs: 25 });
    assert.ok(scenario.task.isActive);
  });

  it('does not expire on the clock of a later incarnation', () => {
    const scenario = new Scenario(StartOutcome.Abandoned);
    scenario.harness.advance(scenario.attempt.expiresAt - scenario.harness.now);
    scenario.report({ bornAt: 2, clockMs: 5 });
    assert.ok(scenario.task.isActive);
  });

  it('goes on if the next incarnation lists it, and is no victim of a crash', () => {
    const scenario = new Scenario(StartOutcome.Abandoned);
    const running = [createRunning(scenario.task.name, 10_001)];
    scenario.report({ bornAt: 2, clockMs: 5, running });
    assert.equal(scenario.attempt.phase, AttemptPhase.Running);
    assert.equal(scenario.task.isSuspect, false);
  });

  it('counts if the next incarnation has ended it', () => {
    const scenario = new Scenario(StartOutcome.Abandoned);
    const ended = [createEnded(1, scenario.task.name, 10_001, EndKind.Done)];
    scenario.report({ bornAt: 2, clockMs: 5, ended });
    assert.ok(scenario.task.isDone);
  });

  it('may run on a later incarnation until the longest lease is over, unless its target reports', () => {
    const scenario = new Scenario(StartOutcome.Unknown);
    const { harness, processor, target, task, attempt } = scenario;
    harness.advance(target.leasesExpireAt + 1 - harness.now);
    processor.recordAllLost(target, LossReason.LeasesExpired);
    assert.ok(task.isActive);
    harness.context.arrivals.record('kartes', task.step.job, harness.now + 20_000);
    harness.advance(attempt.startedAt + LATEST_EXECUTION_MS + MAXIMUM_LEASE_MS - harness.now);
    processor.recordAllLost(target, LossReason.LeasesExpired);
    assert.ok(task.isActive);
    harness.advance(1);
    processor.recordAllLost(target, LossReason.LeasesExpired);
    assert.equal(task.isActive, false);
  });
});

// Found by the users, TWICE: a target was back under its id within a second and took renewals and starts
// whose deadlines were on its former clock. When it was cut off, its runs outlasted the lease that was granted.
describe('a target that is back under its id', () => {
  it('is expected to hold the longest lease, since old grants may have reached it', () => {
    const scenario = new Scenario(StartOutcome.Accepted);
    const { harness, target } = scenario;
    scenario.report({ bornAt: 2, clockMs: 15 });
    const restartedAt = harness.now;
    target.grantLease(LEASE_MS, harness.now);
    assert.ok(target.leasesExpireAt >= restartedAt + MAXIMUM_LEASE_MS - ROUND_MS);
  });

  it('is expected to hold it from the last moment at which an old grant can be carried out', () => {
    const scenario = new Scenario(StartOutcome.Accepted);
    const { harness, target } = scenario;
    target.grantLease(LEASE_MS, harness.now);
    const carriedOutBefore = harness.now + LATEST_EXECUTION_MS;
    scenario.report({ bornAt: 2, clockMs: 15 });
    assert.ok(target.leasesExpireAt >= carriedOutBefore + MAXIMUM_LEASE_MS);
  });

  it('is known by the clock with which it accepts a start for its former incarnation', () => {
    const scenario = new Scenario(StartOutcome.AcceptedLater);
    const { harness, target, attempt } = scenario;
    assert.equal(attempt.phase, AttemptPhase.Running);
    assert.ok(target.leasesExpireAt >= harness.now + MAXIMUM_LEASE_MS - ROUND_MS);
    assert.equal(target.isOpen(harness.now), false, 'its clock is not known');
  });

  it('holds the same lease if only the owner before may have sent it old grants', () => {
    const { harness, target, processor } = new Scenario(StartOutcome.Accepted, PREDECESSOR);
    const fresh = harness.addTarget('t2');
    processor.apply(fresh, createReport({ clockMs: 3_000 }), harness.now);
    assert.ok(fresh.leasesExpireAt >= harness.now + MAXIMUM_LEASE_MS);
    const old = harness.addTarget('t3');
    processor.apply(old, createReport({ clockMs: 60_000 }), harness.now);
    assert.ok(old.leasesExpireAt < harness.now + MAXIMUM_LEASE_MS);
    assert.notEqual(target, old);
  });
});
