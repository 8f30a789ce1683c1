import assert from 'node:assert/strict';
import { afterEach, describe, it, mock } from 'node:test';
import { AttemptPhase, StepRun } from '@currantgap/jobs';
import { AdviceCache } from '../src/advice-cache.ts';
import { DisruptionSurvey } from '../src/disruption-budget.ts';
import { JobLookup } from '../src/job-lookup.ts';
import { Planner } from '../src/planner.ts';
import { Quarantine } from '../src/quarantine.ts';
import { ReportProcessor } from '../src/report-processor.ts';
import { RunExpiry } from '../src/run-expiry.ts';
import { buildAttempt, RunOrders, takeRunNumber } from '../src/run-orders.ts';
import {
  createReport,
  createRunning,
  flushPromises,
  PREDECESSOR,
  TermHarness,
} from './term-harness.ts';

const ID = '00000000000000a1';
const OTHER = '00000000000000a2';
const SMALL = { cpuMillis: 1, memoryMb: 1, gpus: 0 };

/** A pool of one target, and what an owner decides for it. */
class Pool extends TermHarness {
  readonly target = this.addTarget('t1');
  readonly orders = new RunOrders(this.context);
  readonly processor = new ReportProcessor(
    this.context,
    this.orders,
    new JobLookup(this.context, this.store),
  );
  readonly #planner = new Planner(
    this.context,
    this.orders,
    new AdviceCache(this.context, undefined),
    new Quarantine(this.context.clock, () => undefined),
    { requestReport: () => undefined },
  );

  plan(passes = 1): string[] {
    for (let pass = 0; pass < passes; pass += 1) this.#planner.plan();
    return this.targetPort.starts.map(({ task }) => task);
  }

  /** Assigns running tasks of one persistent step to the target. */
  run(count: number): void {
    const step = { count, request: SMALL, isPersistent: true, disruptionBudget: 2 };
    for (const task of this.addJob(ID, [step]).openOccurrence(0).steps[0]?.tasks ?? []) {
      const attempt = buildAttempt(this.target, 1, AttemptPhase.Running, this.now);
      this.fleet.assign(this.target, task, { ...attempt, percent: 100 });
    }
    this.target.leasesExpireAt = Infinity;
  }
}

// Review case 12, other doses, LOST: thousands of small tasks were started, and stopped after a DELETE, by as many
// calls at the same moment. Starts expired before they had a connection, and owners ended by their heap limit.
describe('an owner with thousands of runs', () => {
  it('starts further tasks as earlier starts are answered', async () => {
    const pool = new Pool();
    pool.addJob(ID, [{ count: 3_500, request: SMALL, isPersistent: true }]);
    const inFlight = pool.plan(10).length;
    assert.ok(inFlight <= 1_000, `${inFlight} starts`);
    for (let round = 0; round < 20; round += 1) {
      await flushPromises();
      for (const message of pool.messages.splice(0)) {
        if (message.kind === 'started')
          pool.orders.applyStartOutcome(message.target, message.assignment, message.outcome);
      }
      pool.plan();
    }
    assert.equal(pool.plan().length, 3_500);
  });

  it('stops them a few at a time until all are stopped', async () => {
    const pool = new Pool();
    const { orders, target, targetPort } = pool;
    pool.run(1_200);
    for (const assignment of target.assignments) orders.stop(assignment, 'cancelled');
    assert.ok(targetPort.stops.length <= 250, `${targetPort.stops.length} stops`);
    for (let sweep = 0; sweep < 10; sweep += 1) {
      await flushPromises();
      new RunExpiry(pool.context, orders, pool.processor).sweep();
    }
    assert.equal(new Set(targetPort.stops.map(({ task }) => task)).size, 1_200);
  });

  it('stops reported runs that it does not need a few at a time as well', () => {
    const { context, now, processor, target, targetPort } = new Pool();
    context.jobs.recordPurged(ID, Date.now());
    const names = Array.from({ length: 1_200 }, (_, index) => `${ID}.0.0.${index}`);
    const running = names.map((name) => createRunning(name, 1));
    processor.apply(target, createReport({ running }), now);
    assert.ok(targetPort.stops.length <= 250, `${targetPort.stops.length} stops`);
  });

  // The class of review case 12: a step with more than 10,000 tasks had used up the run numbers of the next owner.
  it('gives each start a higher number than all starts of earlier terms', () => {
    const pool = new Pool();
    const [step] = pool.addJob(ID, [{ count: 17_000, request: SMALL }]).listWaitingSteps(0);
    const [task] = step?.listWaiting(0, { limit: 1 }) ?? [];
    assert.ok(task);
    task.step.startCount = 16_999;
    const last = takeRunNumber(pool.context, task);
    task.step.startCount = 0;
    const term = { ...pool.context.term, epoch: pool.context.term.epoch + 1 };
    assert.ok(takeRunNumber({ ...pool.context, term }, task) > last);
  });

  // The class of review case 13: each task was compared with all others of its step, whenever a target drained.
  it('counts the available tasks of a step once for all decisions of a sweep', () => {
    const pool = new Pool();
    pool.run(400);
    const find = mock.method(pool.fleet, 'find');
    const survey = new DisruptionSurvey(pool.context, { countsDraining: false });
    let allowed = 0;
    for (const assignment of pool.target.assignments) {
      if (!survey.canStop(assignment)) continue;
      survey.recordStop(assignment);
      assignment.attempt.phase = AttemptPhase.Stopping;
      allowed += 1;
    }
    assert.equal(allowed, 2);
    assert.ok(find.mock.callCount() <= 1_600, `${find.mock.callCount()} look-ups`);
  });
});

// Review case 13, LOST: a gang that did not fit stopped each owner for seconds in every plan.
describe('a large gang', () => {
  afterEach(() => {
    mock.restoreAll();
  });

  it('costs a plan no walk over its tasks if it does not fit, and others start beside it', () => {
    const pool = new Pool();
    pool.addJob(ID, [{ count: 17_000, isGang: true, request: SMALL }]);
    pool.addJob(OTHER, [{}]);
    const property = Object.getOwnPropertyDescriptor(StepRun.prototype, 'definition');
    let reads = 0;
    mock.getter(StepRun.prototype, 'definition', function count(this: StepRun) {
      reads += 1;
      return property?.get?.call(this) as unknown;
    });
    assert.deepEqual(pool.plan(10), [`${OTHER}.0.0.0`]);
    assert.ok(reads < 1_000, `${reads} reads`);
  });

  it('starts as a whole once there is room', () => {
    const pool = new Pool();
    pool.addJob(ID, [{ count: 6, isGang: true }]);
    assert.equal(pool.plan().length, 0);
    pool.addTarget('t2');
    assert.equal(pool.plan().length, 6);
  });

  // Read in the third review: a gang started once one of its members might, without asking for the others.
  it('waits for a silent target of an earlier term that may run one of its members', () => {
    const pool = new Pool({ predecessor: PREDECESSOR });
    const { reconciliation } = pool.context;
    pool.addJob(ID, [{ count: 2, isGang: true }], true);
    reconciliation.expectReport({ id: 't9', service: 'kartes', tasks: [`${ID}.0.0.1`] });
    assert.equal(pool.plan().length, 0);
    reconciliation.recordReport('t9');
    assert.equal(pool.plan().length, 2);
  });
});
