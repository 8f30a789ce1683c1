import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { TargetState } from '@currantgap/model';
import { setLogSink } from '@currantgap/telemetry';
import { AdviceCache } from '../src/advice-cache.ts';
import { Planner } from '../src/planner.ts';
import { Quarantine } from '../src/quarantine.ts';
import { RunOrders } from '../src/run-orders.ts';
import { CORE, TermHarness } from './term-harness.ts';

const SMALL = '0000000000000001';
const LARGE = '0000000000000002';
const LARGE_STEP = { request: { cpuMillis: 4 * CORE, memoryMb: 1_024, gpus: 0 } };
/** Milliseconds between the ends of small runs: eight run at a time, for a second each. */
const END_PERIOD_MS = 125;

/** A pool of two targets of four cores, with one planner. */
class FullPool {
  readonly harness = new TermHarness();
  readonly targets = ['t1', 't2'].map((id) => this.harness.addTarget(id));
  readonly arrivedAt = this.harness.now;
  #planner = this.#createPlanner();

  plan(): void {
    this.#planner.plan();
  }

  computeShares(): ReturnType<Planner['computeShares']> {
    return this.#planner.computeShares();
  }

  /** Replaces the planner as a change of owner does. */
  changeOwner(): void {
    this.#planner = this.#createPlanner();
  }

  countStarts(id: string): number {
    return this.harness.targetPort.starts.filter(({ task }) => task.startsWith(id)).length;
  }

  /** Ends the oldest small run again and again until the large task starts; returns when it did. */
  endRunsUntilLargeStarts(limitMs: number): number | undefined {
    while (this.harness.now - this.arrivedAt < limitMs) {
      this.harness.advance(END_PERIOD_MS);
      this.#endOldestRun();
      this.plan();
      if (this.countStarts(LARGE) > 0) return this.harness.now - this.arrivedAt;
    }
    return undefined;
  }

  #endOldestRun(): void {
    const runs = this.targets
      .flatMap((target) => [...target.assignments].map((assignment) => ({ target, assignment })))
      .sort(
        (left, right) => left.assignment.attempt.startedAt - right.assignment.attempt.startedAt,
      );
    const [oldest] = runs;
    if (oldest === undefined) return;
    this.harness.fleet.unassign(oldest.target, oldest.assignment);
    const { task } = oldest.assignment;
    task.step.finishTask(task);
  }

  #createPlanner(): Planner {
    const { context } = this.harness;
    const quarantine = new Quarantine(context.clock, () => undefined);
    const advice = new AdviceCache(context, undefined);
    return new Planner(context, new RunOrders(context), advice, quarantine, {
      requestReport: () => undefined,
      onCopy: undefined,
    });
  }
}

describe('A full pool', () => {
  let lines: string[] = [];

  beforeEach(() => {
    lines = [];
    setLogSink((line) => lines.push(line));
  });

  afterEach(() => {
    setLogSink(() => undefined);
  });

  describe('with a hot team', () => {
    it('is shared with the team that asks for little', () => {
      const pool = new FullPool();
      pool.harness.addJob(SMALL, [{ count: 50 }], false, 'hot');
      pool.harness.addJob(LARGE, [{ count: 3 }], false, 'quiet');
      pool.plan();
      assert.equal(pool.countStarts(LARGE), 3);
      assert.equal(pool.countStarts(SMALL), 5);
      pool.plan();
      const shares = pool.computeShares().get('kartes');
      assert.deepEqual(shares?.get('quiet'), { held: 0.375, owed: 0.375 });
      assert.deepEqual(shares.get('hot'), { held: 0.625, owed: 0.625 });
    });

    it('is logged once when it fills and once when it has had room for a while', () => {
      const pool = new FullPool();
      const job = pool.harness.addJob(SMALL, [{ count: 50 }]);
      pool.plan();
      pool.plan();
      assert.equal(lines.filter((line) => line.includes('pool contended')).length, 1);
      job.cancel();
      pool.plan();
      pool.harness.advance(1_000);
      pool.plan();
      pool.plan();
      assert.equal(lines.filter((line) => line.includes('pool no longer contended')).length, 1);
    });
  });

  describe('with a large task beside a stream of small ones', () => {
    function createPool(): FullPool {
      const pool = new FullPool();
      pool.harness.addJob(SMALL, [{ count: 200 }]);
      pool.plan();
      pool.harness.addJob(LARGE, [LARGE_STEP]);
      return pool;
    }

    it('keeps a target for it, so that it starts in time', () => {
      const startedAfterMs = createPool().endRunsUntilLargeStarts(10_000);
      // The objective is 2,200 ms and the task takes 1,000 ms.
      assert.ok((startedAfterMs ?? Infinity) <= 1_200, `started after ${startedAfterMs} ms`);
      assert.equal(lines.filter((line) => line.includes('target reserved')).length, 1);
      assert.equal(lines.filter((line) => line.includes('reservation used')).length, 1);
    });

    it('finds it again after a change of owner', () => {
      const pool = createPool();
      assert.equal(pool.endRunsUntilLargeStarts(500), undefined);
      pool.changeOwner();
      assert.ok(pool.endRunsUntilLargeStarts(10_000) !== undefined);
    });

    it('lets the reservation lapse when its target drains, and reserves the other one', () => {
      const pool = createPool();
      pool.endRunsUntilLargeStarts(500);
      const reserved = lines.find((line) => line.includes('target reserved'));
      const target = pool.targets.find(({ id }) => reserved?.includes(`"target":"${id}"`));
      assert.ok(target !== undefined);
      target.entry = { ...target.entry, state: TargetState.Draining };
      assert.ok(pool.endRunsUntilLargeStarts(10_000) !== undefined);
      assert.ok(lines.some((line) => line.includes('target closed')));
    });

    it('lets a persistent task start on the reserved target', () => {
      const pool = createPool();
      pool.endRunsUntilLargeStarts(500);
      pool.harness.addJob('0000000000000003', [{ isPersistent: true }]);
      pool.endRunsUntilLargeStarts(625);
      assert.equal(pool.countStarts('0000000000000003'), 1);
    });
  });
});
