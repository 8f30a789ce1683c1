import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { AttemptPhase, type Job, type TaskRun } from '@currantgap/jobs';
import { waitUntil } from '@currantgap/standins';
import { AdviceCache } from '../src/advice-cache.ts';
import { JobLookup } from '../src/job-lookup.ts';
import { Planner } from '../src/planner.ts';
import { Quarantine } from '../src/quarantine.ts';
import { ReportProcessor } from '../src/report-processor.ts';
import { buildAttempt } from '../src/run-orders.ts';
import type { TargetRecord } from '../src/target-record.ts';
import { EndKind, JobState } from '@currantgap/model';
import {
  createEnded,
  createReport,
  createRunning,
  createTarget,
  type TermHarness,
} from './term-harness.ts';
import { createController, VM } from './vm-harness.ts';

const JOB_ID = '0000000000000001';
const MOVE = { kind: 'move', pool: 'velves' } as const;
const PERSISTENT_PAIR = { isPersistent: true, count: 2, disruptionBudget: 1 };
/** Longer than the store and the VM service take to carry an order out. */
const ORDER_MS = 60;

type Setup = Awaited<ReturnType<typeof createController>>;

/** Registers a target that has not reported in this term. */
function addUnreported(harness: TermHarness, id: string): TargetRecord {
  const { deadline } = harness.context.reconciliation;
  const target = harness.fleet.register(createTarget(id), deadline);
  assert.ok(target);
  return target;
}

function getTask(job: Job, index: number): TaskRun {
  const task = job.openOccurrence(0).steps[0]?.tasks[index];
  assert.ok(task);
  return task;
}

/** Sweeps and waits as long as an order would usually take; returns the VMs that were moved. */
async function sweep({ controller, port }: Setup): Promise<readonly string[]> {
  controller.sweep();
  await sleep(ORDER_MS);
  return port.moves;
}

/** Sweeps and waits until the VM is moved. */
async function waitForMove({ controller, port }: Setup): Promise<void> {
  controller.sweep();
  await waitUntil(() => port.moves.includes(VM.name));
}

// Incident of 2026-12-04: after a take-over, VMs whose targets had not been heard from counted as
// empty. The orders for them ended more persistent tasks than the disruption budget allows.
describe('a VM that may run tasks of an earlier term', () => {
  it('is not ordered before the target that the VM list names is registered', async () => {
    const setup = await createController();
    setup.controller.startPlan(VM.name, MOVE);
    assert.deepEqual(await sweep(setup), []);
    setup.harness.addTarget('t1');
    await waitForMove(setup);
    setup.log.stop();
  });

  it('is ordered at once if the VM list names targets, but none for it, because it is off', async () => {
    const off = { ...VM, name: 'vm-off', targetId: undefined };
    const setup = await createController([], [VM, off]);
    const { controller, port, log } = setup;
    controller.startPlan(off.name, MOVE);
    controller.sweep();
    await waitUntil(() => port.moves.includes(off.name));
    log.stop();
  });

  it('is not ordered if the VM list names no targets at all', async () => {
    const setup = await createController([], [{ ...VM, targetId: undefined }]);
    setup.controller.startPlan(VM.name, MOVE);
    assert.deepEqual(await sweep(setup), []);
    setup.log.stop();
  });

  it('is not ordered before its target has reported in this term', async () => {
    const setup = await createController();
    const target = addUnreported(setup.harness, 't1');
    setup.controller.startPlan(VM.name, MOVE);
    assert.deepEqual(await sweep(setup), []);
    target.reportedAt = setup.harness.now;
    await waitForMove(setup);
    setup.log.stop();
  });

  it('is ordered although its target is silent, once no lease of an earlier term can last', async () => {
    const setup = await createController();
    const { harness, controller, log } = setup;
    addUnreported(harness, 't1');
    controller.startPlan(VM.name, MOVE);
    harness.clock.advanceTo(harness.context.reconciliation.deadline - 1);
    assert.deepEqual(await sweep(setup), []);
    harness.advance(2);
    await waitForMove(setup);
    log.stop();
  });

  it('is not ordered while its target lists a run whose job is not known yet', async () => {
    const setup = await createController();
    const { harness, controller, orders, log } = setup;
    const target = harness.addTarget('t1');
    const lookup = new JobLookup(harness.context, harness.store);
    const processor = new ReportProcessor(harness.context, orders, lookup);
    const report = createReport({ running: [createRunning(`${JOB_ID}.0.0.0`, 1)] });
    processor.apply(target, report, harness.now);
    controller.startPlan(VM.name, MOVE);
    assert.deepEqual(await sweep(setup), []);
    harness.advance(1);
    processor.apply(target, createReport(), harness.now);
    await waitForMove(setup);
    log.stop();
  });
});

// Guards the capacity of targets that accept whatever they are told to start: a run that is not known
// yet occupies capacity all the same.
describe('a target that lists a run whose job is not known yet', () => {
  it('gets no new work until all its runs are known', async () => {
    const { harness, orders, log } = await createController();
    const target = harness.addTarget('t1');
    const lookup = new JobLookup(harness.context, harness.store);
    const processor = new ReportProcessor(harness.context, orders, lookup);
    const running = [createRunning(`${JOB_ID}.0.0.0`, 1)];
    processor.apply(target, createReport({ running }), harness.now);
    assert.equal(target.isOpen(harness.now), false);
    harness.addJob(JOB_ID, [{}], true);
    processor.apply(target, createReport({ running }), harness.now);
    assert.ok(target.isOpen(harness.now));
    assert.equal(target.assignmentCount, 1);
    log.stop();
  });
});

// Guards against a second run of a task: around a take-over a target may list a run of a submission that
// the new owner has not read yet (TWICE on clocks-and-cloud, seed 19685198322).
describe('a task that a target lists before its job is known', () => {
  async function createTerm() {
    const setup = await createController();
    const { context, store } = setup.harness;
    const [first] = [setup.harness.addTarget('t1'), setup.harness.addTarget('t2')];
    const processor = new ReportProcessor(context, setup.orders, new JobLookup(context, store));
    const quarantine = new Quarantine(context.clock, () => undefined);
    const advice = new AdviceCache(context, undefined);
    const planner = new Planner(context, setup.orders, advice, quarantine, {
      requestReport: () => undefined,
    });
    return { ...setup, first, processor, planner };
  }

  it('is not started elsewhere when the job arrives, but adopted with the next report', async () => {
    const { harness, first, processor, planner, log } = await createTerm();
    const running = [createRunning(`${JOB_ID}.0.0.0`, 1)];
    processor.apply(first, createReport({ running }), harness.now);
    const job = harness.addJob(JOB_ID, [{}]);
    harness.advance(1);
    planner.plan();
    assert.deepEqual(harness.targetPort.starts, []);
    processor.apply(first, createReport({ running }), harness.now);
    assert.equal(getTask(job, 0).attempts.length, 1);
    planner.plan();
    assert.deepEqual(harness.targetPort.starts, []);
    log.stop();
  });

  // Ends are applied in their order, so one of an unknown job keeps back those of other jobs.
  it('is not started again if it has ended there, nor is a task whose end is listed after it', async () => {
    const { harness, first, processor, planner, log } = await createTerm();
    const known = harness.addJob('0000000000000002', [{}], true);
    const ended = [
      createEnded(1, `${JOB_ID}.0.0.0`, 1, EndKind.Done),
      createEnded(2, `${known.id}.0.0.0`, 1, EndKind.Done),
    ];
    processor.apply(first, createReport({ ended }), harness.now);
    const job = harness.addJob(JOB_ID, [{}]);
    planner.plan();
    assert.deepEqual(harness.targetPort.starts, []);
    processor.apply(first, createReport({ ended }), harness.now);
    planner.plan();
    assert.deepEqual(harness.targetPort.starts, []);
    assert.deepEqual([job.state, known.state], [JobState.Completed, JobState.Completed]);
    log.stop();
  });
});

// Incident of 2026-12-04, farolito-prod: a target that was cut off from the store lost its registry
// entry and still ran tasks; its VM counted as empty 0.3 s later.
describe('a VM whose target has lost its registry entry', () => {
  it('is not ordered while tasks run there, and gets no work when the entry comes back', async () => {
    const setup = await createController();
    const { harness, controller, log } = setup;
    const target = harness.addTarget('t1');
    const task = getTask(harness.addJob(JOB_ID, [{}]), 0);
    const attempt = buildAttempt(target, 1, AttemptPhase.Running, harness.now);
    harness.fleet.assign(target, task, attempt);
    harness.fleet.unregister('t1');
    controller.startPlan(VM.name, MOVE);
    assert.deepEqual(await sweep(setup), []);
    harness.fleet.register(createTarget('t1'), 0);
    assert.equal(target.isOpen(harness.now), false);
    harness.fleet.unassign(target, { task, attempt });
    await waitForMove(setup);
    log.stop();
  });
});

// Guards the disruption budget around a take-over: what the successor does not know of a task must
// not make it stop another one.
describe('a persistent task on a VM with a plan', () => {
  interface Pair extends Setup {
    readonly targets: readonly [TargetRecord, TargetRecord];
  }

  /** Two tasks of a step, of which one may be unavailable, each in service on a target. */
  async function createPair(): Promise<Pair> {
    const setup = await createController();
    const { harness, orders } = setup;
    const targets = [harness.addTarget('t1'), harness.addTarget('t2')] as const;
    const job = harness.addJob(JOB_ID, [PERSISTENT_PAIR], true);
    const lookup = new JobLookup(harness.context, harness.store);
    const processor = new ReportProcessor(harness.context, orders, lookup);
    for (const [index, target] of targets.entries()) {
      const running = { ...createRunning(getTask(job, index).name, 1), percent: 100 };
      processor.apply(target, createReport({ running: [running] }), harness.now);
    }
    return { ...setup, targets };
  }

  function listStops({ harness }: Setup): string[] {
    return harness.targetPort.stops.map(({ target }) => target);
  }

  it('is kept while a stop that the predecessor sent may still end another one', async () => {
    const pair = await createPair();
    const { harness, controller, targets, log } = pair;
    controller.startPlan(VM.name, MOVE);
    controller.sweep();
    assert.deepEqual(listStops(pair), []);
    harness.advance(harness.context.bounds.stopMs + 1);
    controller.sweep();
    assert.deepEqual(listStops(pair), []);
    for (const target of targets) target.reportedAt = harness.now;
    controller.sweep();
    assert.deepEqual(listStops(pair), ['t1']);
    log.stop();
  });

  it('is kept while the target of another one is silent', async () => {
    const pair = await createPair();
    const { harness, controller, targets, log } = pair;
    harness.advance(harness.context.bounds.stopMs + 1);
    for (const target of targets) target.reportedAt = harness.now;
    targets[1].unansweredCalls = 1;
    controller.startPlan(VM.name, MOVE);
    controller.sweep();
    assert.deepEqual(listStops(pair), []);
    targets[1].unansweredCalls = 0;
    controller.sweep();
    assert.deepEqual(listStops(pair), ['t1']);
    log.stop();
  });
});
