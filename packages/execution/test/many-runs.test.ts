import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { AttemptPhase } from '@currantgap/jobs';
import { AdviceCache } from '../src/advice-cache.ts';
import { JobLookup } from '../src/job-lookup.ts';
import { Planner } from '../src/planner.ts';
import { Quarantine } from '../src/quarantine.ts';
import { ReportProcessor } from '../src/report-processor.ts';
import { RunExpiry } from '../src/run-expiry.ts';
import { buildAttempt, RunOrders } from '../src/run-orders.ts';
import { createReport, createRunning, flushPromises, TermHarness } from './term-harness.ts';

const ID = '00000000000000a1';
const REQUEST = { cpuMillis: 1, memoryMb: 1, gpus: 0 };

// Review case 12, other doses, LOST: thousands of small tasks were started, and stopped after a DELETE, by as many
// calls at the same moment. Starts expired before they had a connection, and owners ended by their heap limit.
describe('an owner with thousands of runs', () => {
  it('starts further tasks as earlier starts are answered', async () => {
    const harness = new TermHarness();
    for (const id of ['t1', 't2', 't3', 't4']) harness.addTarget(id);
    harness.addJob(ID, [{ count: 3_500, request: REQUEST, isPersistent: true }]);
    const { context, targetPort } = harness;
    const orders = new RunOrders(context);
    const advice = new AdviceCache(context, undefined);
    const quarantine = new Quarantine(context.clock, () => undefined);
    const copying = { requestReport: () => undefined };
    const planner = new Planner(context, orders, advice, quarantine, copying);
    for (let pass = 0; pass < 10; pass += 1) planner.plan();
    const inFlight = targetPort.starts.length;
    assert.ok(inFlight > 0 && inFlight <= 1_000, `${inFlight} starts`);
    for (let pass = 0; pass < 20; pass += 1) {
      await flushPromises();
      for (const message of harness.messages.splice(0)) {
        if (message.kind !== 'started') continue;
        orders.applyStartOutcome(message.target, message.assignment, message.outcome);
      }
      planner.plan();
    }
    assert.equal(targetPort.starts.length, 3_500);
  });

  it('stops them a few at a time until all are stopped', async () => {
    const harness = new TermHarness();
    const { context, fleet, targetPort } = harness;
    const target = harness.addTarget('t1');
    const orders = new RunOrders(context);
    const processor = new ReportProcessor(context, orders, new JobLookup(context, harness.store));
    const expiry = new RunExpiry(context, orders, processor);
    const job = harness.addJob(ID, [{ count: 1_200, request: REQUEST, isPersistent: true }]);
    const tasks = job.openOccurrence(0).steps[0]?.tasks ?? [];
    for (const task of tasks) {
      const attempt = buildAttempt(target, 1, AttemptPhase.Running, harness.now);
      fleet.assign(target, task, attempt);
      orders.stop({ task, attempt }, 'cancelled');
    }
    target.leasesExpireAt = Infinity;
    const inFlight = targetPort.stops.length;
    assert.ok(inFlight > 0 && inFlight <= 250, `${inFlight} stops`);
    for (let sweep = 0; sweep < 10; sweep += 1) {
      await flushPromises();
      expiry.sweep();
    }
    assert.equal(new Set(targetPort.stops.map(({ task }) => task)).size, 1_200);
  });

  it('stops reported runs that it does not need a few at a time as well', () => {
    const harness = new TermHarness();
    const { context, targetPort } = harness;
    const target = harness.addTarget('t1');
    const orders = new RunOrders(context);
    const processor = new ReportProcessor(context, orders, new JobLookup(context, harness.store));
    context.jobs.recordPurged(ID, Date.now());
    const running = Array.from({ length: 1_200 }, (_, index) =>
      createRunning(`${ID}.0.0.${index}`, 1),
    );
    processor.apply(target, createReport({ running }), harness.now);
    assert.ok(targetPort.stops.length <= 250, `${targetPort.stops.length} stops`);
  });
});
