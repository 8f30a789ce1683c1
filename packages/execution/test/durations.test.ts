import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { AttemptPhase, EndEffect, type Attempt, type TaskRun } from '@currantgap/jobs';
import { EndKind, type Step } from '@currantgap/model';
import { OWNER_PART } from '@currantgap/ownership';
import { waitUntil } from '@currantgap/standins';
import { PageSizer } from '@currantgap/store';
import { setLogSink } from '@currantgap/telemetry';
import { DURATION_TABLE, DurationStore } from '../src/duration-store.ts';
import { DurationRecorder } from '../src/duration-recorder.ts';
import { JobLookup } from '../src/job-lookup.ts';
import { ReportProcessor } from '../src/report-processor.ts';
import { buildAttempt, RunOrders } from '../src/run-orders.ts';
import type { TargetRecord } from '../src/target-record.ts';
import { createEnded, createReport, ROUTE, STEP, TermHarness } from './term-harness.ts';

const ROW = { table: DURATION_TABLE, part: OWNER_PART, key: ROUTE.name };
const WRITE_PERIOD_MS = 5_000;

let jobs = 0;

/** Assigns a task of a new job, or of a given one, and returns what ends its run. */
function start(
  harness: TermHarness,
  target: TargetRecord,
  step: Partial<Step> = {},
  { isWhole = true, pace = 100, checkpoint = '' } = {},
): { task: TaskRun; attempt: Attempt; end: (kind?: EndKind, effect?: EndEffect) => void } {
  jobs += 1;
  const job = harness.addJob(String(jobs).padStart(16, '0'), [step]);
  const task = job.openOccurrence(0).steps[0]?.tasks[0];
  assert.ok(task);
  task.checkpoint = checkpoint;
  const attempt = buildAttempt(target, 1, AttemptPhase.Running, harness.now);
  Object.assign(attempt, { isListed: true, pace });
  harness.fleet.assign(target, task, attempt);
  if (isWhole) harness.context.durationRecorder.recordStart({ task, attempt });
  return {
    task,
    attempt,
    end: (kind = EndKind.Done, effect = EndEffect.TaskDone) => {
      const assignment = { task, attempt };
      harness.fleet.unassign(target, assignment);
      harness.context.durationRecorder.recordEnd(target, assignment, kind, effect);
    },
  };
}

/** Runs tasks one after the other. */
function run(
  harness: TermHarness,
  target: TargetRecord,
  count: number,
  durationMs: number,
  step: Partial<Step> = {},
): void {
  for (let index = 0; index < count; index += 1) {
    const { end } = start(harness, target, step);
    harness.advance(durationMs);
    end();
  }
}

/** Estimates the duration of a task of a submission that has not run yet. */
function estimate(harness: TermHarness): number {
  return harness.context.durations.estimateTaskMs(ROUTE.name, { ...STEP });
}

function assertWithin(value: number, low: number, high: number): void {
  assert.ok(value >= low && value <= high, `${value} is not within ${low} and ${high}`);
}

describe('DurationRecorder', () => {
  it('takes the slowness of one target out, but not a slowness of all', () => {
    const harness = new TermHarness();
    const targets = ['t1', 't2', 't3'].map((id) => harness.addTarget(id));
    const [slow, ...sound] = targets;
    assert.ok(slow);
    for (const target of targets) start(harness, target);
    for (let round = 0; round < 30; round += 1) {
      run(harness, slow, 1, 4_000);
      for (const target of sound) run(harness, target, 1, 1_000);
    }
    assertWithin(estimate(harness), 900, 1_250);
    for (let round = 0; round < 40; round += 1) {
      for (const target of targets) run(harness, target, 1, 4_000);
    }
    assert.ok(estimate(harness) > 3_000);
  });

  it('takes out what a task lost by running away from its data', () => {
    const harness = new TermHarness();
    const target = harness.addTarget('t1');
    run(harness, target, 40, 2_000, { dataRack: 'elsewhere' });
    assertWithin(estimate(harness), 950, 1_050);
    assertWithin(target.slowness, 0.95, 1.05);
  });

  it('learns nothing from failed, adopted, resumed, slowed and repeated runs', () => {
    const harness = new TermHarness();
    const target = harness.addTarget('t1');
    for (let round = 0; round < 20; round += 1) {
      const runs = [
        start(harness, target),
        start(harness, target, {}, { isWhole: false }),
        start(harness, target, {}, { checkpoint: 'half' }),
        start(harness, target, { isFiller: true }, { pace: 25 }),
        start(harness, target),
      ];
      harness.advance(9_000);
      runs[0]?.end(EndKind.Failed, EndEffect.Retry);
      runs[1]?.end();
      runs[2]?.end();
      runs[3]?.end();
      runs[4]?.end(EndKind.Done, EndEffect.None);
    }
    assert.equal(estimate(harness), 1_000);
  });

  it('puts the declared, expected and actual duration into the log line of the end', () => {
    const harness = new TermHarness();
    const target = harness.addTarget('t1');
    const observed: number[] = [];
    const { context } = harness;
    const durationRecorder = new DurationRecorder({
      clock: harness.clock,
      fleet: harness.fleet,
      durations: context.durations,
      remoteFactor: 2,
      observe: (_, ratio) => observed.push(ratio),
    });
    const parts = { ...context, durationRecorder };
    const orders = new RunOrders(parts);
    const processor = new ReportProcessor(parts, orders, new JobLookup(parts, harness.store));
    const task = harness.addJob('00000000000000ff', [{}]).openOccurrence(0).steps[0]?.tasks[0];
    assert.ok(task);
    orders.start(task, target, 7);
    harness.advance(1_500);
    const lines: string[] = [];
    setLogSink((line) => lines.push(line));
    const ended = [createEnded(1, task.name, 7, EndKind.Done)];
    processor.apply(target, createReport({ ended }), harness.now);
    setLogSink(() => undefined);
    const end = lines.find((line) => line.includes('run ended')) ?? '';
    assert.match(end, /"route":"checks","declaredMs":1000,"expectedMs":1000,"actualMs":1500/);
    assert.deepEqual(observed, [1.5]);
  });

  it('learns from stopped runs and from active ones that go on beyond their expectation', () => {
    const harness = new TermHarness();
    const target = harness.addTarget('t1');
    const runs = Array.from({ length: 12 }, () => start(harness, target));
    harness.advance(5_000);
    target.reportedAt = harness.now;
    harness.context.durationRecorder.sweep();
    const whileActive = estimate(harness);
    assert.ok(whileActive > 2_000, `${whileActive}`);
    harness.advance(600);
    target.reportedAt = harness.now;
    harness.context.durationRecorder.sweep();
    assert.equal(estimate(harness), whileActive, 'the same run has been recorded twice');
    for (const { end } of runs) end(EndKind.Stopped, EndEffect.Retry);
    assert.ok(estimate(harness) > 2_000);
  });
});

describe('DurationStore', () => {
  async function createStore(harness: TermHarness): Promise<DurationStore> {
    const store = new DurationStore(harness.context, harness.store, new PageSizer(1_000));
    await store.load();
    return store;
  }

  async function createHarness(value?: string): Promise<TermHarness> {
    const harness = new TermHarness();
    await harness.writeFence();
    if (value === undefined) return harness;
    await harness.store.commit({ conditions: [], puts: [{ ...ROW, value }], removals: [] });
    return harness;
  }

  it('lets the owner after a take-over start with what was learned', async () => {
    const harness = await createHarness();
    const store = await createStore(harness);
    run(harness, harness.addTarget('t1'), 60, 3_000);
    store.sweep();
    await waitUntil(() => harness.store.peek(ROW) !== undefined);
    const successor = await createHarness(harness.store.peek(ROW)?.value);
    const successorStore = await createStore(successor);
    assertWithin(estimate(successor) / estimate(harness), 0.97, 1.03);
    const { commitCount } = successor.store;
    successor.advance(WRITE_PERIOD_MS);
    successorStore.sweep();
    await successor.context.writer.flush();
    assert.equal(successor.store.commitCount, commitCount, 'nothing has changed since');
  });

  it('writes at most one row in 5 s, and none before it has read those of earlier owners', async () => {
    const harness = await createHarness();
    const target = harness.addTarget('t1');
    const store = new DurationStore(harness.context, harness.store, new PageSizer(1_000));
    const { commitCount } = harness.store;
    for (const durationMs of [3_000, 300]) {
      run(harness, target, 60, durationMs);
      store.sweep();
      await harness.context.writer.flush();
      assert.equal(harness.store.commitCount, commitCount);
    }
    await store.load();
    for (let index = 0; index < 100; index += 1) {
      store.sweep();
      for (let run = 0; run < 40; run += 1) {
        harness.context.durations.record(ROUTE.name, { ...STEP }, index % 2 === 0 ? 300 : 9_000);
      }
      harness.advance(100);
      await harness.context.writer.flush();
    }
    assertWithin(harness.store.commitCount - commitCount, 1, 2);
  });

  for (const [name, value, isKept] of [
    ['a corrupt row', '{"version":1,"kinds":[[["declared"],9999,[4]]]}', false],
    ['a row of a later release', '{"version":7,"kinds":{}}', true],
  ] as const) {
    it(`starts with the estimates of clients and one log line after ${name}`, async () => {
      const faults: string[] = [];
      const harness = await createHarness(value);
      setLogSink((line) => {
        if (line.includes('durations not decodable')) faults.push(line);
      });
      const store = await createStore(harness);
      setLogSink(() => undefined);
      assert.equal(faults.length, 1);
      assert.equal(estimate(harness), 1_000);
      store.sweep();
      await harness.context.writer.flush();
      const row = harness.store.peek(ROW);
      assert.equal(row !== undefined && !row.isDeleted, isKept);
      run(harness, harness.addTarget('t1'), 60, 3_000);
      harness.advance(WRITE_PERIOD_MS);
      store.sweep();
      await harness.context.writer.flush();
      const written = harness.store.peek(ROW)?.value ?? '';
      if (isKept) assert.equal(written, value);
      else assert.match(written, /declared/);
    });
  }

  it('writes what was learned although there are rows to remove and a name is too long', async () => {
    const harness = await createHarness('{}');
    const store = await createStore(harness);
    const names = ['x'.repeat(201), 'other'];
    for (const name of names) {
      for (let run = 0; run < 60; run += 1) {
        harness.context.durations.record(name, { ...STEP }, name === 'other' ? 3_000 : 9_000);
      }
    }
    store.sweep();
    await harness.context.writer.flush();
    const [long, other] = names.map((key) => harness.store.peek({ ...ROW, key: key }));
    assert.equal(long, undefined);
    assert.match(other?.value ?? '', /declared/);
    harness.advance(WRITE_PERIOD_MS);
    store.sweep();
    await harness.context.writer.flush();
    assert.notEqual(harness.store.peek(ROW)?.isDeleted, false);
  });
});
