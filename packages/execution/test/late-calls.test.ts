import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ResponseTimes } from '@currantgap/scheduling';
import { LATEST_EXECUTION_MS } from '../src/call-timing.ts';
import { IncarnationFence } from '../src/incarnation-fence.ts';
import { JobLookup } from '../src/job-lookup.ts';
import { LateStarts } from '../src/late-starts.ts';
import { LeaseRenewer } from '../src/lease-renewer.ts';
import { StartOutcome, type TargetReport } from '../src/ports.ts';
import { RegistryReader } from '../src/registry-reader.ts';
import { ReportProcessor } from '../src/report-processor.ts';
import { RunOrders } from '../src/run-orders.ts';
import { LossReason } from '../src/unlisted-runs.ts';
import {
  createReport,
  createTarget,
  LEASE_MS,
  MAXIMUM_LEASE_MS,
  PREDECESSOR,
  TermHarness,
  TOKEN,
} from './term-harness.ts';

/** Milliseconds for which a target of the tests has been up: its deadlines are far ahead of a new clock. */
const UPTIME_MS = 20_000;

/** A target that has been up for long, with one task whose start had an outcome. */
class Scenario {
  readonly harness = new TermHarness();
  readonly orders = new RunOrders(this.harness.context);
  readonly processor = new ReportProcessor(
    this.harness.context,
    this.orders,
    new JobLookup(this.harness.context, this.harness.store),
  );
  readonly renewer = new LeaseRenewer(this.harness.context, new ResponseTimes());
  readonly target = this.harness.addTarget('t1');
  readonly task;
  readonly assignment;

  constructor(outcome: StartOutcome) {
    this.report({ clockMs: UPTIME_MS });
    const job = this.harness.addJob('00000000000000a1', [{}]);
    const task = job.openOccurrence(0).steps[0]?.tasks[0];
    assert.ok(task);
    this.orders.start(task, this.target, 10_001);
    const [attempt] = task.attempts;
    assert.ok(attempt);
    this.task = task;
    this.assignment = { task, attempt };
    this.answerStart(outcome);
  }

  answerStart(outcome: StartOutcome): void {
    this.orders.applyStartOutcome(this.target, this.assignment, outcome);
    this.harness.advance(10);
  }

  /** Applies a report whose request had the present token. */
  report(changes: Partial<TargetReport>, token = this.target.fence.token): void {
    this.processor.apply(this.target, createReport(changes), this.harness.now, token);
    this.harness.advance(10);
  }

  /** Sends the renewal that is due and gets its order. */
  renew() {
    this.target.isRenewalInFlight = false;
    this.renewer.sendDue();
    const order = this.harness.targetPort.leaseRenewals.at(-1);
    assert.ok(order);
    return order;
  }
}

// Issue 50, TWICE: calls of a former life were carried out seconds after the target's return, and gave its next
// life a lease that the owner did not know of.
describe('a call of the past that a target carries out seconds later', () => {
  it('is fenced off before anything is granted to the next incarnation', () => {
    const scenario = new Scenario(StartOutcome.Accepted);
    const { harness, target } = scenario;
    scenario.report({ bornAt: 2, clockMs: 15 });
    assert.equal(target.isOpen(harness.now), false);
    const { token, deadline, acknowledgedThrough } = scenario.renew();
    assert.ok(token > scenario.assignment.attempt.token);
    assert.deepEqual([deadline, acknowledgedThrough], [undefined, 0]);
    scenario.report({ bornAt: 2, clockMs: 25 });
    assert.ok(target.isOpen(harness.now));
    assert.equal(scenario.renew().token, token);
    assert.notEqual(scenario.renew().deadline, undefined);
  });

  it('is not fenced off by an answer to a call that was sent before the restart was known', () => {
    const scenario = new Scenario(StartOutcome.Accepted);
    scenario.report({ bornAt: 2, clockMs: 15 });
    scenario.renew();
    scenario.report({ bornAt: 2, clockMs: 25 }, TOKEN);
    assert.equal(scenario.target.fence.isClosed, false);
  });

  it('extends no lease after the next incarnation has answered the higher token', () => {
    const scenario = new Scenario(StartOutcome.Accepted);
    const { harness, target } = scenario;
    scenario.report({ bornAt: 2, clockMs: 15 });
    assert.ok(target.leasesExpireAt >= harness.now + LATEST_EXECUTION_MS + MAXIMUM_LEASE_MS - 50);
    scenario.renew();
    const closedAt = harness.now;
    scenario.report({ bornAt: 2, clockMs: 25 });
    assert.equal(target.leasesExpireAt, closedAt + MAXIMUM_LEASE_MS);
  });

  it('starts no task on the next incarnation, so that the task is free at once', () => {
    const scenario = new Scenario(StartOutcome.Abandoned);
    scenario.report({ bornAt: 2, clockMs: 15 });
    assert.ok(scenario.task.isActive);
    scenario.renew();
    scenario.report({ bornAt: 2, clockMs: 25 });
    assert.equal(scenario.task.isActive, false);
  });

  it('may start a task on an incarnation after the next one, so that the task stays on the target', () => {
    const scenario = new Scenario(StartOutcome.Abandoned);
    const { harness, target, task, assignment } = scenario;
    const lateStarts = new LateStarts(harness.context);
    const pool = [target, harness.addTarget('t2')];
    scenario.report({ bornAt: 2, clockMs: 15 });
    scenario.renew();
    scenario.report({ bornAt: 2, clockMs: 25 });
    assert.deepEqual(lateStarts.listAllowed(task, pool), [target]);
    harness.advance(assignment.attempt.startedAt + LATEST_EXECUTION_MS - harness.now);
    assert.ok(lateStarts.isBound(task), 'the target has not reported since');
    harness.advance(1);
    scenario.report({ bornAt: 2, clockMs: UPTIME_MS });
    assert.deepEqual(lateStarts.listAllowed(task, pool), pool);
  });

  it('binds no task to a target that did not restart', () => {
    const scenario = new Scenario(StartOutcome.Abandoned);
    const { harness, target, task } = scenario;
    target.fence.open();
    scenario.renew();
    scenario.report({ clockMs: UPTIME_MS + 25 });
    assert.equal(task.isActive, false);
    assert.equal(new LateStarts(harness.context).isBound(task), false);
  });

  it('may start a task on an incarnation that is cut off from its return on', () => {
    const { harness, processor, target, task } = new Scenario(StartOutcome.Unknown);
    const lastGrantAt = target.leaseGrantedAt ?? 0;
    harness.advance(lastGrantAt + LATEST_EXECUTION_MS + MAXIMUM_LEASE_MS - harness.now);
    processor.recordAllLost(target, LossReason.LeasesExpired);
    assert.ok(task.isActive);
    harness.advance(1);
    processor.recordAllLost(target, LossReason.LeasesExpired);
    assert.equal(task.isActive, false);
  });

  // The users' rule LOST: 14 s after the end of the traffic, no task waits for 3 s more although it could run.
  it('keeps no task waiting for longer than 17 s if its target is gone', () => {
    const { harness, processor, target, task, assignment } = new Scenario(StartOutcome.Unknown);
    const decode = () => undefined;
    const registry = new RegistryReader(harness.context, { table: 'servers', decode });
    harness.advance(assignment.attempt.startedAt + 5_000 - harness.now);
    registry.apply([], true);
    harness.advance(assignment.attempt.startedAt + 15_500 - harness.now);
    processor.recordAllLost(target, LossReason.LeasesExpired);
    assert.ok(task.isActive, 'it may only be cut off');
    harness.advance(1_000);
    processor.recordAllLost(target, LossReason.LeasesExpired);
    assert.equal(task.isActive, false);
  });

  it('starts no task on a target that the registry still lists when it can be carried out no more', () => {
    const { harness, processor, target, task, assignment } = new Scenario(StartOutcome.Unknown);
    const registry = { table: 'servers', decode: () => target.entry };
    const row = { table: 'servers', part: '', key: 't1', value: '', version: 1, isDeleted: false };
    const reader = new RegistryReader(harness.context, registry);
    const latestAt = assignment.attempt.startedAt + LATEST_EXECUTION_MS;
    for (const readAt of [latestAt, latestAt + 1]) {
      harness.advance(readAt - harness.now);
      reader.apply([row], false);
      processor.recordAllLost(target, LossReason.LeasesExpired);
      assert.equal(task.isActive, readAt === latestAt);
    }
  });

  it('starts no task on a target whose VM has a later one, so that the task need not wait', () => {
    const { harness, processor, target, task } = new Scenario(StartOutcome.Unknown);
    harness.fleet.unregister(target.id);
    harness.addTarget('t2', { vm: target.entry.vm, bornAt: 2 });
    processor.recordAllLost(target, LossReason.LeasesExpired);
    assert.equal(task.isActive, false);
  });

  it('has the same effect after the owner has forgotten the target', () => {
    const { harness, processor, renewer, target, task, assignment } = new Scenario(
      StartOutcome.Accepted,
    );
    harness.fleet.unassign(target, assignment);
    harness.fleet.unregister(target.id);
    renewer.sendDue();
    assert.equal(harness.fleet.find(target.id), undefined);
    const again = harness.addTarget('t1', { bornAt: 2 });
    processor.apply(again, createReport({ bornAt: 2, clockMs: 15 }), harness.now, TOKEN);
    assert.equal(again.isOpen(harness.now), false);
    assert.ok(again.leasesExpireAt >= harness.now + MAXIMUM_LEASE_MS);
    assert.equal(task.isActive, false);
  });
});

describe('a call that is rejected because of a higher token', () => {
  it('has no effect if the owner itself has raised the token since', () => {
    const scenario = new Scenario(StartOutcome.Unknown);
    scenario.target.fence.open();
    scenario.renew();
    scenario.answerStart(StartOutcome.Fenced);
    assert.deepEqual(scenario.harness.deposeReasons, []);
    assert.equal(scenario.task.isActive, false);
  });

  it('shows the owner that it is deposed if no call of its own has had such a token', () => {
    const scenario = new Scenario(StartOutcome.Unknown);
    scenario.answerStart(StartOutcome.Fenced);
    assert.equal(scenario.harness.deposeReasons.length, 1);
  });
});

describe('an incarnation fence', () => {
  it('stays open while a higher token might be that of a successor', () => {
    const fence = new IncarnationFence(TOKEN);
    fence.open();
    assert.equal(fence.raise(TOKEN), false);
    assert.equal(fence.close(TOKEN), false);
    assert.ok(fence.raise(TOKEN + 1));
    assert.ok(fence.close(TOKEN + 1));
  });
});

// Issue 50, TWICE, after a kill of the owner: its calls may still be carried out.
describe('a new owner', () => {
  const readRegistry = (harness: TermHarness, bornAt: number): void => {
    const entry = createTarget('t1', { bornAt });
    const registry = { table: 'servers', decode: () => entry };
    const row = { table: 'servers', part: '', key: 't1', value: '', version: 1, isDeleted: false };
    new RegistryReader(harness.context, registry).apply([row], true);
  };

  it('awaits a silent target longer if its predecessor did not close the incarnation to old calls', () => {
    for (const isClosed of [false, true]) {
      const harness = new TermHarness({ predecessor: PREDECESSOR });
      const { reconciliation } = harness.context;
      const bornAt = Date.now() - 3_000;
      const closedBornAt = isClosed ? bornAt : bornAt - UPTIME_MS;
      reconciliation.expectReport({ id: 't1', service: 'kartes', closedBornAt });
      readRegistry(harness, bornAt);
      const age = LATEST_EXECUTION_MS + MAXIMUM_LEASE_MS - 3_000;
      const isAwaited = reconciliation.listPending(harness.now + age).length > 0;
      assert.equal(isAwaited, !isClosed);
    }
  });

  it('awaits a silent target for the tasks whose starts it may carry out late', () => {
    const { context, now } = new TermHarness({ predecessor: PREDECESSOR });
    const { reconciliation } = context;
    const [tasks, unanswered] = [['a', 'b'], ['b']];
    reconciliation.expectReport({ id: 't1', service: 'kartes', tasks, unanswered });
    const later = now + 1_000 + LEASE_MS;
    assert.ok(reconciliation.canStartInherited('a', ['kartes'], later));
    assert.equal(reconciliation.canStartInherited('b', ['kartes'], later), false);
    reconciliation.recordRegistered('t1');
    assert.equal(
      reconciliation.canStartInherited('b', ['kartes'], reconciliation.lateDeadline - 1),
      false,
    );
    assert.ok(reconciliation.canStartInherited('b', ['kartes'], reconciliation.lateDeadline));
  });
});
