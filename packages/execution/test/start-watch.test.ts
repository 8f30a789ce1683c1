import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { AttemptPhase } from '@currantgap/jobs';
import { JobLookup } from '../src/job-lookup.ts';
import { StartOutcome, type StartOrder, type TargetAddress } from '../src/ports.ts';
import { ReportProcessor } from '../src/report-processor.ts';
import { RunOrders } from '../src/run-orders.ts';
import { StartWatch } from '../src/start-watch.ts';
import {
  createReport,
  createRunning,
  FakeTargetPort,
  flushPromises,
  TermHarness,
} from './term-harness.ts';

const LIMIT_MS = 100;
const READ_MARGIN_MS = 20;

/** Answers no start: targets may carry them out late. A start is given up when the owner withdraws it. */
class SilentTargetPort extends FakeTargetPort {
  override async start(
    target: TargetAddress,
    order: StartOrder,
    signal?: AbortSignal,
  ): Promise<StartOutcome> {
    void super.start(target, order);
    return new Promise((resolve) => {
      signal?.addEventListener('abort', () => {
        resolve(StartOutcome.Abandoned);
      });
    });
  }
}

/** Starts the tasks of one step on a target that answers no start. */
function createSetup(count: number, isGang = false) {
  const targetPort = new SilentTargetPort();
  const harness = new TermHarness();
  const context = { ...harness.context, targetPort };
  const target = harness.addTarget('t1', {
    capacity: { cpuMillis: 100_000, memoryMb: 1_000_000, gpus: 0 },
  });
  const orders = new RunOrders(context);
  orders.startTimes.record(8);
  const asked: string[] = [];
  const watch = new StartWatch(context, orders, ({ id }) => asked.push(id));
  const processor = new ReportProcessor(context, orders, new JobLookup(context, harness.store));
  const job = harness.addJob('00000000000000e0', [{ count, isGang }]);
  const tasks = job.openOccurrence(0).steps[0]?.tasks ?? [];
  for (const [index, task] of tasks.entries()) orders.start(task, target, index + 1);
  const [task] = tasks;
  assert.ok(task);
  return { harness, target, targetPort, orders, watch, processor, asked, task };
}

/** Advances until the starts are overdue and what arrived meanwhile has been read. */
function waitUntilOverdue({ harness, watch }: ReturnType<typeof createSetup>): void {
  watch.sweep();
  harness.advance(LIMIT_MS);
  watch.sweep();
  harness.advance(READ_MARGIN_MS);
  watch.sweep();
}

describe('a start that its target leaves unanswered', () => {
  it('is prevented and the task is free for another target, long before the call is given up', async () => {
    const setup = createSetup(1);
    const { harness, target, targetPort, orders, processor, asked, task } = setup;
    waitUntilOverdue(setup);
    assert.deepEqual(asked, ['t1']);
    processor.apply(target, createReport(), harness.now);
    assert.equal(targetPort.stops.length, 1);
    assert.equal(task.isActive, true);
    await flushPromises();
    const stopped = harness.messages.find((message) => message.kind === 'stopped');
    const started = harness.messages.find((message) => message.kind === 'started');
    assert.ok(stopped && started);
    orders.applyStopOutcome(stopped);
    harness.advance(10);
    processor.apply(target, createReport(), harness.now);
    assert.equal(task.isActive, true, 'the call has not been given up yet');
    orders.applyStartOutcome(target, started.assignment, started.outcome);
    harness.advance(10);
    processor.apply(target, createReport(), harness.now);
    assert.equal(task.isWaiting(harness.now), true);
  });

  it('goes on if the target lists the run, although the answer was lost', () => {
    const setup = createSetup(1);
    const { harness, target, targetPort, processor, task } = setup;
    waitUntilOverdue(setup);
    processor.apply(target, createReport({ running: [createRunning(task.name, 1)] }), harness.now);
    assert.equal(task.attempts[0]?.phase, AttemptPhase.Running);
    assert.equal(targetPort.stops.length, 0);
  });

  it('is not doubted if the answer came while the owner was busy', () => {
    const setup = createSetup(1);
    const { harness, orders, watch, asked, task, target } = setup;
    harness.advance(LIMIT_MS * 5);
    watch.sweep();
    const [assignment] = orders.unansweredStarts.keys();
    assert.ok(assignment);
    orders.applyStartOutcome(target, assignment, StartOutcome.Accepted);
    harness.advance(READ_MARGIN_MS);
    watch.sweep();
    assert.deepEqual(asked, []);
    assert.equal(task.attempts[0]?.phase, AttemptPhase.Running);
  });

  it('is not doubted by an owner that reads what arrives too late itself', () => {
    const setup = createSetup(1);
    const { sweepDelay } = setup.harness.context;
    sweepDelay.recordSweep(setup.harness.now, 100);
    setup.harness.advance(300);
    sweepDelay.recordSweep(setup.harness.now, 100);
    waitUntilOverdue(setup);
    assert.deepEqual(setup.asked, []);
  });

  it('is one of few that are doubted at once', () => {
    const setup = createSetup(40);
    waitUntilOverdue(setup);
    const countDoubted = () =>
      setup.task.step.tasks.filter(({ attempts }) => attempts[0]?.phase === AttemptPhase.Uncertain)
        .length;
    assert.equal(countDoubted(), 16);
    setup.watch.sweep();
    assert.equal(countDoubted(), 32);
    // The target is asked once in each sweep.
    assert.equal(setup.asked.length, 2);
  });

  it('is not prevented if the other members of a gang would be left without it', () => {
    const setup = createSetup(2, true);
    waitUntilOverdue(setup);
    assert.deepEqual(setup.asked, []);
    assert.equal(setup.task.attempts[0]?.phase, AttemptPhase.Starting);
  });
});
