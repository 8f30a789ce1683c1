import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { AttemptPhase, type TaskRun } from '@currantgap/jobs';
import { JobState, TargetState, type Step } from '@currantgap/model';
import { PageSizer } from '@currantgap/store';
import { DisruptionSurvey } from '../src/disruption-budget.ts';
import { JobPurger } from '../src/job-purger.ts';
import { Drainer } from '../src/drainer.ts';
import {
  decodeEndedJob,
  encodeEndedJob,
  encodeRefusal,
  ENDED_TABLE,
  getIntakePart,
} from '../src/intake-tables.ts';
import { buildAttempt, RunOrders } from '../src/run-orders.ts';
import { Pacer } from '../src/pacer.ts';
import type { TargetRecord } from '../src/target-record.ts';
import { createTarget, flushPromises, TermHarness } from './term-harness.ts';

const DAY_MS = 86_400_000;
const PERIOD_MS = 6_000;

let jobs = 0;

/** Assigns one running task of a new job to a target. */
function run(harness: TermHarness, target: TargetRecord, step: Partial<Step>): TaskRun {
  jobs += 1;
  const job = harness.addJob(String(jobs).padStart(16, '0'), [step]);
  const task = job.openOccurrence(0).steps[0]?.tasks[0];
  assert.ok(task);
  const attempt = buildAttempt(target, 1, AttemptPhase.Running, harness.now);
  harness.fleet.assign(target, task, attempt);
  return task;
}

describe('a draining target', () => {
  function drain(remainingMs: number, steps: readonly Partial<Step>[]): string[] {
    const harness = new TermHarness();
    const target = harness.addTarget('t1');
    const tasks = steps.map((step) => run(harness, target, step));
    const drainer = new Drainer(harness.context, new RunOrders(harness.context));
    target.entry = createTarget('t1', { state: TargetState.Draining, remainingMs });
    drainer.sweep();
    const stopped = new Set(harness.targetPort.stops.map(({ task }) => task));
    return tasks.map(({ name }) => (stopped.has(name) ? 'stopped' : 'left'));
  }

  it('stops its persistent tasks at once and keeps tasks that finish in time', () => {
    const steps = [{ isPersistent: true }, { estimatedMs: 500, isCheckpointing: true }];
    assert.deepEqual(drain(5_000, steps), ['stopped', 'left']);
  });

  it('stops checkpointing tasks that would not finish, once little time is left', () => {
    const long = { estimatedMs: 60_000 };
    const steps = [{ ...long, isCheckpointing: true }, long];
    assert.deepEqual(drain(1_000, steps), ['stopped', 'left']);
    assert.deepEqual(drain(20_000, steps), ['left', 'left']);
  });
});

describe('the disruption budget of a step with a task on a draining target', () => {
  /** Runs two ready tasks of one step, which may miss one, on a sound and on a draining target. */
  function createStep(remainingMs: number) {
    const harness = new TermHarness();
    const [sound, draining] = [harness.addTarget('t1'), harness.addTarget('t2')];
    const definition = { isPersistent: true, count: 2, antiAffinity: 1, disruptionBudget: 1 };
    const job = harness.addJob('00000000000000d0', [definition]);
    const tasks = job.openOccurrence(0).steps[0]?.tasks ?? [];
    for (const [index, target] of [sound, draining].entries()) {
      const task = tasks[index];
      assert.ok(task);
      const attempt = buildAttempt(target, 1, AttemptPhase.Running, harness.now);
      attempt.percent = 100;
      harness.fleet.assign(target, task, attempt);
    }
    draining.entry = createTarget('t2', { state: TargetState.Draining, remainingMs });
    const [assignment] = sound.assignments;
    assert.ok(assignment);
    const orders = new RunOrders(harness.context);
    const drainer = new Drainer(harness.context, orders);
    const countStops = () => harness.targetPort.stops.length;
    return { harness, assignment, orders, drainer, countStops };
  }

  it('counts that task as unavailable, so that a planned stop waits', () => {
    const { harness, assignment } = createStep(5_000);
    const survey = new DisruptionSurvey(harness.context, { countsDraining: true });
    assert.equal(survey.canStop(assignment), false);
  });

  it('lets that task go on while a planned stop uses up the budget', () => {
    const { harness, assignment, orders, drainer, countStops } = createStep(5_000);
    orders.stop(assignment, 'VM is emptied');
    drainer.sweep();
    assert.equal(countStops(), 1);
    assignment.attempt.phase = AttemptPhase.Running;
    harness.advance(100);
    drainer.sweep();
    assert.equal(countStops(), 2);
  });

  it('stops that task in any case before the target is gone', () => {
    const { harness, assignment, orders, drainer, countStops } = createStep(2_000);
    orders.stop(assignment, 'VM is emptied');
    drainer.sweep();
    harness.advance(1_000);
    drainer.sweep();
    assert.equal(countStops(), 2);
  });

  it('does not keep tasks on two draining targets waiting for each other', () => {
    const { harness, assignment, drainer, countStops } = createStep(5_000);
    const target = harness.fleet.find('t1');
    assert.ok(target);
    target.entry = createTarget('t1', { state: TargetState.Draining, remainingMs: 5_000 });
    drainer.sweep();
    assert.equal(countStops(), 1);
    assert.equal(assignment.attempt.phase, AttemptPhase.Stopping);
  });
});

describe('the pacer', () => {
  function createPair(): {
    harness: TermHarness;
    pacer: Pacer;
    serving: TaskRun;
    target: TargetRecord;
  } {
    const harness = new TermHarness();
    const target = harness.addTarget('t1');
    const serving = run(harness, target, { isPersistent: true, latencyTargetMs: 100 });
    run(harness, target, { isFiller: true });
    return { harness, pacer: new Pacer(harness.context), serving, target };
  }

  it('slows fillers in steps while a serving task on the target misses its latency target', async () => {
    const { harness, pacer, serving } = createPair();
    const [attempt] = serving.attempts;
    assert.ok(attempt);
    attempt.reading = 150;
    for (let round = 0; round < 3; round += 1) {
      pacer.sweep();
      await flushPromises();
      harness.advance(100);
    }
    assert.deepEqual(harness.targetPort.paces, [50]);
    harness.advance(500);
    pacer.sweep();
    await flushPromises();
    assert.deepEqual(harness.targetPort.paces, [50, 25]);
  });

  it('resends a pace that was not acknowledged, and does not resend an acknowledged one', async () => {
    const { harness, pacer, serving, target } = createPair();
    const [attempt] = serving.attempts;
    assert.ok(attempt);
    attempt.reading = 70;
    target.pace = 40;
    harness.targetPort.isPaceUnanswered = true;
    for (const isUnanswered of [true, false, false]) {
      harness.targetPort.isPaceUnanswered = isUnanswered;
      harness.advance(600);
      pacer.sweep();
      await flushPromises();
    }
    assert.deepEqual(harness.targetPort.paces, [40, 40]);
  });
});

describe('the rows of expired jobs', () => {
  const ids = ['00000000000000a0', '00000000000000a1', '00000000000000a8', '00000000000000b0'];
  const getRow = (id: string) => ({ table: ENDED_TABLE, part: getIntakePart(id), key: id });

  async function createEndedJobs(): Promise<TermHarness> {
    const harness = new TermHarness();
    for (const id of ids) {
      const endedAt = id.endsWith('b0') ? Date.now() : Date.now() - DAY_MS;
      const value = encodeEndedJob({ state: JobState.Completed, endedAt });
      await harness.store.commit({
        conditions: [],
        puts: [{ ...getRow(id), value }],
        removals: [],
      });
    }
    return harness;
  }

  function listRemaining(harness: TermHarness): string[] {
    return ids.filter((id) => harness.store.peek(getRow(id)) !== undefined);
  }

  it('are removed part by part after the status retention, and rows of other jobs stay', async () => {
    const harness = await createEndedJobs();
    for (const id of ids) {
      const ended = decodeEndedJob(harness.store.peek(getRow(id))?.value ?? '');
      assert.ok(ended);
      harness.context.jobs.archive(id, ended);
    }
    const purger = new JobPurger(harness.context, harness.store, new PageSizer(1_000));
    purger.sweep();
    await flushPromises();
    assert.deepEqual(listRemaining(harness), ['00000000000000a1', '00000000000000b0']);
    harness.advance(PERIOD_MS);
    purger.sweep();
    await flushPromises();
    assert.deepEqual(listRemaining(harness), ['00000000000000b0']);
    assert.deepEqual(
      [...harness.context.jobs.archived].map(([id]) => id),
      ['00000000000000b0'],
    );
  });

  it('are found and removed also if an earlier owner archived them', async () => {
    const harness = await createEndedJobs();
    const malformed = { ...getRow('00000000000000c0'), value: '{' };
    await harness.store.commit({ conditions: [], puts: [malformed], removals: [] });
    const purger = new JobPurger(harness.context, harness.store, new PageSizer(1_000));
    for (let period = 0; period < 10; period += 1) {
      harness.advance(PERIOD_MS);
      purger.sweep();
      await flushPromises();
    }
    assert.deepEqual(listRemaining(harness), ['00000000000000b0']);
  });

  it('are removed after a refusal as well, unless the submission was accepted later', async () => {
    const harness = new TermHarness();
    const puts = ids.map((id) => ({ ...getRow(id), value: encodeRefusal(Date.now() - DAY_MS) }));
    for (const put of puts)
      await harness.store.commit({ conditions: [], puts: [put], removals: [] });
    harness.addJob('00000000000000b0', [{}]);
    const purger = new JobPurger(harness.context, harness.store, new PageSizer(1_000));
    for (let period = 0; period < 10; period += 1) {
      harness.advance(PERIOD_MS);
      purger.sweep();
      await flushPromises();
    }
    assert.deepEqual(listRemaining(harness), ['00000000000000b0']);
  });
});
