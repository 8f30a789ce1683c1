import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Step } from '@currantgap/model';
import {
  LATEST_EXECUTION_MS,
  MAXIMUM_CALL_AGE_MS,
  REGISTRATION_RETURN_MS,
} from '../src/call-timing.ts';
import { JobLookup } from '../src/job-lookup.ts';
import { LateStarts } from '../src/late-starts.ts';
import { StartOutcome } from '../src/ports.ts';
import { RegistryReader } from '../src/registry-reader.ts';
import { ReportProcessor } from '../src/report-processor.ts';
import { RunExpiry } from '../src/run-expiry.ts';
import { RunOrders } from '../src/run-orders.ts';
import { createReport, createTarget, PREDECESSOR, TermHarness } from './term-harness.ts';

const ID = '00000000000000a1';
/** Milliseconds between the crash of a target and the removal of its entry: three ping intervals. */
const REMOVAL_MS = 4_500;
/** Milliseconds after the last submission by which callers expect each task that can run to run, less the next start. */
const BOUND_MS = 17_000 - 900;
/** Until then the task is kept, since the target may run it. */
const KEPT_MS = 16_000;

/** The last submission, one of whose starts is left unanswered by a target `delayMs` later. */
class Scenario extends TermHarness {
  readonly orders = new RunOrders(this.context);
  readonly processor = new ReportProcessor(
    this.context,
    this.orders,
    new JobLookup(this.context, this.store),
  );
  readonly submittedAt = this.now;
  readonly target = this.addTarget('t1');
  readonly task;

  constructor(delayMs: number, step: Partial<Step> = {}) {
    super();
    const [task] = this.addJob(ID, [step]).openOccurrence(0).steps[0]?.tasks ?? [];
    assert.ok(task);
    this.task = task;
    this.context.arrivals.recordEarlier(this.now);
    this.advance(delayMs);
    this.processor.apply(this.target, createReport(), this.now);
    this.orders.start(task, this.target, 10_001);
    const [attempt] = task.attempts;
    assert.ok(attempt);
    this.orders.applyStartOutcome(this.target, { task, attempt }, StartOutcome.Unknown);
  }

  /** Reads an entry of the registry after a time; it is removed if no incarnation is given. */
  readEntry(elapsedMs: number, bornAt?: number): void {
    this.advance(elapsedMs);
    const decode = () => createTarget('t1', { bornAt: bornAt ?? 0 });
    const row = { table: 'servers', part: '', key: 't1', value: '', version: 1 };
    const reader = new RegistryReader(this.context, { table: 'servers', decode });
    reader.apply([{ ...row, isDeleted: bornAt === undefined }], false);
  }

  /** Whether the task is free a number of milliseconds after the submission. */
  isFreeAfter(ms: number): boolean {
    this.clock.advanceTo(this.submittedAt + ms);
    new RunExpiry(this.context, this.orders, this.processor).sweep();
    return !this.task.isActive;
  }
}

// Review case 15, LOST: a target was lost for good as a start reached it, 5 s after the last submission. The task was
// kept for 16 s after the start, until 21 s after the submission, while all other targets were idle.
describe('a task whose start is left unanswered', () => {
  for (const delayMs of [0, 3_000, 5_000, 9_000]) {
    it(`is free in callers’ bound if it was sent ${delayMs} ms after the last submission and its target is gone`, () => {
      const scenario = new Scenario(delayMs);
      assert.equal(scenario.target.lateCallsUntil, scenario.now + LATEST_EXECUTION_MS);
      scenario.readEntry(REMOVAL_MS);
      assert.equal(scenario.isFreeAfter(KEPT_MS), false);
      assert.ok(scenario.isFreeAfter(BOUND_MS));
    });
  }

  it('is free in the same time if it is one of a gang, or the target had restarted before', () => {
    const gang = new Scenario(5_000, { count: 2, isGang: true });
    const restarted = new Scenario(5_000);
    restarted.target.expectForeignGrant(10_200, restarted.now);
    for (const scenario of [gang, restarted]) {
      scenario.readEntry(REMOVAL_MS);
      assert.ok(scenario.isFreeAfter(BOUND_MS));
    }
  });

  it('is kept if the target does not count as gone yet, or another incarnation may have taken the start', () => {
    const scenario = new Scenario(9_000);
    scenario.readEntry(REMOVAL_MS + REGISTRATION_RETURN_MS);
    assert.equal(scenario.isFreeAfter(BOUND_MS), false);
    scenario.readEntry(0, 2);
    assert.equal(scenario.isFreeAfter(BOUND_MS + REGISTRATION_RETURN_MS), false);
  });

  it('is bound to a target that had restarted no longer than that if it is lost', () => {
    const scenario = new Scenario(5_000);
    const { context, processor, target, task } = scenario;
    processor.apply(target, createReport({ bornAt: 2, clockMs: 5 }), scenario.now);
    target.fence.raise(context.writer.provenVersion);
    scenario.advance(MAXIMUM_CALL_AGE_MS);
    processor.apply(
      target,
      createReport({ bornAt: 2, clockMs: 15 }),
      scenario.now,
      target.fence.token,
    );
    const lateStarts = new LateStarts(context);
    assert.ok(lateStarts.isBound(task));
    scenario.readEntry(REMOVAL_MS);
    assert.ok(scenario.isFreeAfter(BOUND_MS));
    assert.equal(lateStarts.isBound(task), false);
  });

  it('is free in callers’ bound if heartbeats of a silent target show that it has no lease any more', () => {
    const scenario = new Scenario(5_000);
    for (let beats = 0; beats < 5; beats += 1) scenario.readEntry(1_500, 1);
    assert.equal(scenario.isFreeAfter(KEPT_MS), false);
    assert.ok(scenario.isFreeAfter(BOUND_MS));
  });

  // The same for a start whose owner ended before the answer: the next one counted 16 s from the start as well.
  for (const isGone of [true, false]) {
    it(`is ${isGone ? 'free' : 'kept'} after a take-over if its target is ${isGone ? '' : 'not '}gone`, () => {
      const { context, now, storeOffsetMs } = new TermHarness({ predecessor: PREDECESSOR });
      const { arrivals, reconciliation } = context;
      const [task, submittedAt] = [`${ID}.0.0.0`, now - 6_000];
      arrivals.recordEarlier(submittedAt);
      const startedAt = { [task]: now - 1_000 + storeOffsetMs };
      reconciliation.expectReport({ id: 't1', service: 'kartes', tasks: [task], startedAt });
      if (isGone) reconciliation.recordAbsence('t1', now + REMOVAL_MS);
      const canStart = (ms: number): boolean =>
        reconciliation.canStartInherited(task, ['kartes'], submittedAt + ms);
      assert.deepEqual([canStart(KEPT_MS - 1), canStart(BOUND_MS)], [false, isGone]);
    });
  }
});
