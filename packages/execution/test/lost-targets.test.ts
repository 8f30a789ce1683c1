import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { TaskRun } from '@currantgap/jobs';
import type { Step } from '@currantgap/model';
import { MAXIMUM_CALL_AGE_MS, REGISTRATION_RETURN_MS } from '../src/call-timing.ts';
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
const HEARTBEAT_MS = 1_500;
/** Milliseconds after the last submission by which callers expect each task that can run to run: 14 s and 3 s. */
const BOUND_MS = 17_000;
/** Milliseconds of that bound that are left to the next start. */
const START_MS = 900;

/** A submission, the last one, one of whose starts is left unanswered by a target some time later. */
class Scenario {
  readonly harness = new TermHarness();
  readonly orders = new RunOrders(this.harness.context);
  readonly processor = new ReportProcessor(
    this.harness.context,
    this.orders,
    new JobLookup(this.harness.context, this.harness.store),
  );
  readonly submittedAt = this.harness.now;
  readonly target = this.harness.addTarget('t1');
  readonly task: TaskRun;
  readonly #expiry = new RunExpiry(this.harness.context, this.orders, this.processor);

  constructor(delayMs: number, step: Partial<Step> = {}) {
    const { harness, orders, target } = this;
    const job = harness.addJob(ID, [step]);
    harness.context.arrivals.recordEarlier(harness.now);
    const [task] = job.openOccurrence(0).steps[0]?.tasks ?? [];
    assert.ok(task);
    this.task = task;
    harness.advance(delayMs);
    this.processor.apply(target, createReport(), harness.now);
    orders.start(task, target, 10_001);
    const [attempt] = task.attempts;
    assert.ok(attempt);
    orders.applyStartOutcome(target, { task, attempt }, StartOutcome.Unknown);
  }

  readEntry(bornAt: number | undefined): void {
    const { context } = this.harness;
    const isDeleted = bornAt === undefined;
    const decode = () => createTarget('t1', { bornAt: bornAt ?? 0 });
    const row = { table: 'servers', part: '', key: 't1', value: '', version: 1, isDeleted };
    new RegistryReader(context, { table: 'servers', decode }).apply([row], false);
  }

  /** Whether the task is free a number of milliseconds after the submission. */
  isFreeAfter(ms: number): boolean {
    const { clock, now } = this.harness;
    clock.advanceTo(Math.max(now, this.submittedAt + ms));
    this.#expiry.sweep();
    return !this.task.isActive;
  }
}

// Review case 15, LOST: a target was lost for good as a start reached it, 5 s after the last submission. The task was
// kept for 16 s after the start, until 21 s after the submission, while all other targets were idle.
describe('a task whose start is left unanswered by a target that is lost for good', () => {
  for (const delayMs of [0, 3_000, 5_000, 9_000]) {
    it(`can start elsewhere in callers’ bound if it was started ${delayMs} ms after the last submission`, () => {
      const scenario = new Scenario(delayMs);
      scenario.harness.advance(REMOVAL_MS);
      scenario.readEntry(undefined);
      assert.equal(scenario.isFreeAfter(delayMs + REMOVAL_MS + REGISTRATION_RETURN_MS), false);
      assert.equal(scenario.isFreeAfter(BOUND_MS - 1_000), false, 'it may run there until then');
      assert.ok(scenario.isFreeAfter(BOUND_MS - START_MS));
    });
  }

  it('can in the same time if it is one of a gang, or the target had restarted before', () => {
    const gang = new Scenario(5_000, { count: 2, isGang: true });
    const restarted = new Scenario(5_000);
    restarted.target.expectForeignGrant(10_200, restarted.harness.now);
    for (const scenario of [gang, restarted]) {
      scenario.harness.advance(REMOVAL_MS);
      scenario.readEntry(undefined);
      assert.ok(scenario.isFreeAfter(BOUND_MS - START_MS));
    }
  });

  it('cannot before the target counts as gone, nor if another incarnation has registered', () => {
    const scenario = new Scenario(9_000);
    scenario.harness.advance(REMOVAL_MS + REGISTRATION_RETURN_MS);
    scenario.readEntry(undefined);
    assert.equal(scenario.isFreeAfter(BOUND_MS - START_MS), false);
    scenario.readEntry(2);
    assert.equal(scenario.isFreeAfter(BOUND_MS + REGISTRATION_RETURN_MS), false);
  });

  it('is bound to the target no longer if that had restarted before it was lost', () => {
    const scenario = new Scenario(5_000);
    const { harness, processor, target, task, submittedAt } = scenario;
    const lateStarts = new LateStarts(harness.context);
    processor.apply(target, createReport({ bornAt: 2, clockMs: 5 }), harness.now);
    target.fence.raise(harness.context.writer.provenVersion);
    harness.advance(MAXIMUM_CALL_AGE_MS);
    const { token } = target.fence;
    processor.apply(target, createReport({ bornAt: 2, clockMs: 15 }), harness.now, token);
    assert.equal(task.isActive, false);
    assert.ok(lateStarts.isBound(task));
    harness.advance(REMOVAL_MS);
    scenario.readEntry(undefined);
    harness.clock.advanceTo(submittedAt + BOUND_MS - START_MS);
    assert.equal(lateStarts.isBound(task), false);
  });
});

describe('a task whose start is left unanswered by a target that is silent, and up by the registry', () => {
  it('can start elsewhere in callers’ bound once a heartbeat shows that it has no lease any more', () => {
    const scenario = new Scenario(5_000);
    const { harness, target } = scenario;
    for (let beats = 0; beats < 5; beats += 1) {
      harness.advance(HEARTBEAT_MS);
      scenario.readEntry(1);
    }
    assert.ok(target.heartbeatAt > target.leasesExpireAt);
    assert.equal(scenario.isFreeAfter(BOUND_MS - 1_000), false);
    assert.ok(scenario.isFreeAfter(BOUND_MS - START_MS));
  });

  it('cannot if another incarnation is up, which may have taken the start', () => {
    const scenario = new Scenario(5_000);
    for (let beats = 0; beats < 5; beats += 1) {
      scenario.harness.advance(HEARTBEAT_MS);
      scenario.readEntry(2);
    }
    assert.equal(scenario.isFreeAfter(BOUND_MS - START_MS), false);
  });
});

// The same for a start whose owner ended before the answer: the next owner counted 16 s from the start as well.
describe('a task of an earlier term whose start a target has not answered', () => {
  const task = `${ID}.0.0.0`;

  function createTerm(isGone: boolean): TermHarness {
    const harness = new TermHarness({ predecessor: PREDECESSOR });
    const { arrivals, reconciliation } = harness.context;
    // The predecessor sent the start 5 s after the last submission, and ended 1 s later.
    arrivals.recordEarlier(harness.now - 6_000);
    const startedAt = { [task]: harness.now - 1_000 + harness.storeOffsetMs };
    const row = { id: 't1', service: 'kartes', tasks: [task], unanswered: [task], startedAt };
    reconciliation.expectReport(row);
    if (isGone) reconciliation.recordAbsence('t1', harness.now + REMOVAL_MS);
    return harness;
  }

  it('can start in callers’ bound if the target is lost for good, and not before', () => {
    const { context, now } = createTerm(true);
    const { reconciliation } = context;
    const bound = now - 6_000 + BOUND_MS;
    const canStart = (at: number): boolean =>
      reconciliation.canStartInherited(task, ['kartes'], at);
    assert.equal(canStart(now + REMOVAL_MS + REGISTRATION_RETURN_MS), false);
    assert.equal(canStart(bound - 1_001), false);
    assert.ok(canStart(bound - START_MS));
  });

  it('waits for as long as its start may take effect if the target is not gone', () => {
    const { context, now } = createTerm(false);
    const at = now - 6_000 + BOUND_MS;
    assert.equal(context.reconciliation.canStartInherited(task, ['kartes'], at), false);
  });
});
