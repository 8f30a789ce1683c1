import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { AttemptPhase } from '@currantgap/jobs';
import { ResponseTimes } from '@currantgap/scheduling';
import { err, ok, type Result } from 'neverthrow';
import { JobLookup } from '../src/job-lookup.ts';
import { LeaseRenewer } from '../src/lease-renewer.ts';
import {
  LeaseRenewalFault,
  type LeaseRenewalOrder,
  type TargetAddress,
  type TargetReport,
} from '../src/ports.ts';
import { ReportProcessor } from '../src/report-processor.ts';
import { ReportReceiver } from '../src/report-receiver.ts';
import { buildAttempt, RunOrders } from '../src/run-orders.ts';
import { createReport, createRunning, FakeTargetPort, TermHarness } from './term-harness.ts';

/** Longest wait of a renewal, its limit and the margin, in milliseconds. */
const OVERDUE_MS = 750 + 100 + 50;
const WARY_OVERDUE_MS = 200 + 100 + 50;

/** Leaves renewals unanswered. */
class SilentTargetPort extends FakeTargetPort {
  override async renewLeases(
    target: TargetAddress,
    order: LeaseRenewalOrder,
  ): Promise<Result<TargetReport, LeaseRenewalFault>> {
    await super.renewLeases(target, order);
    return new Promise(() => undefined);
  }
}

/** A target with one run, whose first renewal is in flight and gets no answer. */
function createSetup() {
  const targetPort = new SilentTargetPort();
  const harness = new TermHarness();
  const context = { ...harness.context, targetPort };
  const responseTimes = new ResponseTimes();
  responseTimes.record(8);
  const renewer = new LeaseRenewer(context, responseTimes);
  const orders = new RunOrders(context);
  const processor = new ReportProcessor(context, orders, new JobLookup(context, harness.store));
  const receiver = new ReportReceiver(context, processor, renewer);
  const target = harness.addTarget('t1');
  target.bornAt = 1;
  const task = harness.addJob('00000000000000f0', [{}]).openOccurrence(0).steps[0]?.tasks[0];
  assert.ok(task);
  harness.fleet.assign(target, task, buildAttempt(target, 1, AttemptPhase.Running, harness.now));
  renewer.sendDue();
  const receive = (
    renewal: number,
    report: Result<TargetReport, LeaseRenewalFault>,
    acknowledgedThrough = 0,
  ) => {
    receiver.applyRenewal({
      kind: 'held',
      target,
      renewal,
      acknowledgedThrough,
      sentAt: harness.now,
      knownBornAt: 1,
      token: target.fence.token,
      report,
    });
  };
  const listWaits = () => targetPort.leaseRenewals.map(({ waitMs }) => waitMs);
  const wait = (ms: number) => {
    harness.advance(ms);
    renewer.sendDue();
  };
  return { harness, target, targetPort, task, receive, listWaits, wait };
}

describe('a lease renewal that its target leaves unanswered', () => {
  it('is overtaken by shorter ones, so that ends of runs are learned without its timeout', () => {
    const { listWaits, wait } = createSetup();
    wait(OVERDUE_MS - 1);
    assert.deepEqual(listWaits(), [750]);
    wait(1);
    assert.deepEqual(listWaits(), [750, 200]);
  });

  it('does not make the renewals of targets without runs shorter', () => {
    const { harness, targetPort, wait } = createSetup();
    wait(OVERDUE_MS);
    harness.addTarget('t2').bornAt = 1;
    wait(0);
    const idle = targetPort.leaseRenewals.filter(({ target }) => target === 't2');
    assert.deepEqual(
      idle.map(({ waitMs }) => waitMs),
      [750],
    );
  });

  it('is overtaken only a few times in a row, so that calls to a silent target do not pile up', () => {
    const { listWaits, wait } = createSetup();
    wait(OVERDUE_MS);
    for (let round = 0; round < 5; round += 1) wait(WARY_OVERDUE_MS);
    assert.equal(listWaits().length, 3);
  });

  it('does not make the target count as silent once a later one is on its way', () => {
    const { target, receive, wait } = createSetup();
    wait(OVERDUE_MS);
    receive(1, err(LeaseRenewalFault.NoAnswer));
    assert.equal(target.unansweredCalls, 0);
    assert.equal(target.isRenewalInFlight, true);
    receive(2, err(LeaseRenewalFault.NoAnswer));
    assert.equal(target.unansweredCalls, 1);
  });

  it('changes nothing if its answer is older than what the target has reported since', () => {
    const { task, receive, wait } = createSetup();
    wait(OVERDUE_MS);
    const running = [createRunning(task.name, 1)];
    receive(2, ok(createReport({ clockMs: 900, running })));
    receive(1, ok(createReport({ clockMs: 500 })));
    assert.equal(task.isActive, true);
  });

  // An acknowledgement that reaches a later incarnation makes it forget ends that nobody has read.
  it('acknowledges ended runs until it is answered, and then no more', () => {
    const { harness, target, targetPort, task, receive, wait } = createSetup();
    const running = [createRunning(task.name, 1)];
    target.acknowledgedThrough = 5;
    wait(OVERDUE_MS);
    receive(2, ok(createReport({ clockMs: 900, running })), 5);
    harness.advance(10);
    receive(3, ok(createReport({ clockMs: 910, running })));
    const acknowledged = targetPort.leaseRenewals.map((order) => order.acknowledgedThrough);
    assert.deepEqual(acknowledged, [0, 5, 0, 0]);
  });

  it('changes nothing if its answer comes from an earlier life of the target', () => {
    const { target, task, receive, wait } = createSetup();
    wait(OVERDUE_MS);
    target.bornAt = 2;
    target.appliedThrough = 5;
    receive(1, ok(createReport({ clockMs: 90_000 })));
    assert.equal(target.bornAt, 2);
    assert.equal(target.appliedThrough, 5);
    assert.equal(task.isActive, true);
  });
});
