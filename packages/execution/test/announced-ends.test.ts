import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { JobState, TargetState } from '@currantgap/model';
import { JobLookup } from '../src/job-lookup.ts';
import { StartOutcome } from '../src/ports.ts';
import { ReportProcessor } from '../src/report-processor.ts';
import { RunOrders } from '../src/run-orders.ts';
import { LossReason } from '../src/unlisted-runs.ts';
import { createReport, createRunning, createTarget, TermHarness } from './term-harness.ts';

/** Restarts of targets after which a job whose tasks had crashed them would fail. */
const RESTARTS = 4;
/** Milliseconds between two reports. */
const REPORT_MS = 500;

/** One task that is started on a target and lost with it, again and again. */
class RestartingTarget {
  readonly harness = new TermHarness();
  readonly target = this.harness.addTarget('t1');
  readonly job = this.harness.addJob('00000000000000a1', [{}]);
  readonly #orders = new RunOrders(this.harness.context);
  readonly #processor = new ReportProcessor(
    this.harness.context,
    this.#orders,
    new JobLookup(this.harness.context, this.harness.store),
  );
  #bornAt = 1;
  #run = 0;

  /** Starts the task, ends the target as `end` says, and applies the first report of the next incarnation. */
  restart(end: (bornAt: number) => void): void {
    this.#startTask();
    end(this.#bornAt);
    this.#returnAsNext();
    this.#processor.apply(this.target, createReport({ bornAt: this.#bornAt }), this.harness.now);
    this.#processor.applyCrashes();
    this.harness.advance(REPORT_MS);
  }

  /** The same for a target that falls silent until its leases are over. */
  loseSilently(end: (bornAt: number) => void): void {
    this.#startTask();
    end(this.#bornAt);
    this.harness.advance(this.target.leasesExpireAt - this.harness.now + 1);
    this.#processor.recordAllLost(this.target, LossReason.LeasesExpired);
    this.#returnAsNext();
    this.harness.context.crashes.sweep();
    this.#processor.applyCrashes();
    this.harness.advance(REPORT_MS);
  }

  readonly register = (state: TargetState, bornAt = this.#bornAt): void => {
    this.harness.fleet.register(createTarget('t1', { bornAt, state }), 0);
  };

  #startTask(): void {
    this.register(TargetState.Ready);
    const task = this.job.openOccurrence(0).steps[0]?.tasks[0];
    assert.ok(task);
    this.#run += 1;
    this.#orders.start(task, this.target, this.#run);
    const [attempt] = task.attempts;
    assert.ok(attempt);
    this.#orders.applyStartOutcome(this.target, { task, attempt }, StartOutcome.Accepted);
    this.harness.advance(REPORT_MS);
    const running = [createRunning(task.name, this.#run)];
    const report = createReport({ bornAt: this.#bornAt, running });
    this.#processor.apply(this.target, report, this.harness.now);
  }

  /** The registration of the next incarnation replaces what the former one has announced. */
  #returnAsNext(): void {
    this.#bornAt += 1;
    this.register(TargetState.Ready);
  }
}

// Case 7 of the second review, LOST: planned restarts under the same ids counted as crashes, since the
// registration of the next incarnation had replaced the announcement, and a submission was failed.
describe('a target whose end was announced', () => {
  const announcements = {
    'by draining': ({ register }: RestartingTarget, bornAt: number) => {
      register(TargetState.Draining, bornAt);
    },
    'by an order for its VM': ({ harness }: RestartingTarget) => {
      harness.fleet.announceEnd('vm-t1');
    },
    'by an order of the owner before': ({ harness }: RestartingTarget) => {
      harness.fleet.recordEarlierOrder('vm-t1', harness.now + 60_000);
    },
  };
  for (const [how, announce] of Object.entries(announcements)) {
    it(`${how} has not crashed when the next incarnation reports`, () => {
      const day = new RestartingTarget();
      for (let round = 0; round < RESTARTS; round += 1) {
        day.restart((bornAt) => {
          announce(day, bornAt);
        });
      }
      assert.equal(day.job.state, JobState.Pending);
    });

    it(`${how} has not crashed when it fell silent first`, () => {
      const day = new RestartingTarget();
      for (let round = 0; round < RESTARTS; round += 1) {
        day.loseSilently((bornAt) => {
          announce(day, bornAt);
        });
      }
      assert.equal(day.job.state, JobState.Pending);
    });
  }
});

describe('a target whose end was not announced', () => {
  it('has crashed, and its tasks are given up after a few crashes', () => {
    const day = new RestartingTarget();
    for (let round = 0; round < RESTARTS; round += 1) day.restart(() => undefined);
    assert.equal(day.job.state, JobState.Failed);
  });

  it('has crashed although a former incarnation has drained', () => {
    const day = new RestartingTarget();
    day.restart((bornAt) => {
      day.register(TargetState.Draining, bornAt);
    });
    for (let round = 0; round < RESTARTS; round += 1) day.restart(() => undefined);
    assert.equal(day.job.state, JobState.Failed);
  });
});
