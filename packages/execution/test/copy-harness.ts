import assert from 'node:assert/strict';
import { AttemptPhase, type TaskRun } from '@currantgap/jobs';
import type { EndKind, Resources, Step } from '@currantgap/model';
import { AdviceCache } from '../src/advice-cache.ts';
import type { CopyOutcome } from '../src/copy-log.ts';
import { JobLookup } from '../src/job-lookup.ts';
import { Planner } from '../src/planner.ts';
import { StartOutcome } from '../src/ports.ts';
import { Quarantine } from '../src/quarantine.ts';
import { ReportProcessor } from '../src/report-processor.ts';
import { RunOrders } from '../src/run-orders.ts';
import type { TargetRecord } from '../src/target-record.ts';
import { createEnded, createReport, createRunning, TermHarness } from './term-harness.ts';

const ID = '0000000000000001';
const OTHER_RACK = ['a', 'r2'];

/** A planner with a job that allows duplicates, whose one task runs on `t1`. */
export class CopyHarness extends TermHarness {
  readonly outcomes: CopyOutcome[] = [];
  readonly askedTargets: string[] = [];
  readonly orders = new RunOrders(this.context);
  readonly processor: ReportProcessor;
  readonly slow: TargetRecord;
  readonly task: TaskRun;
  readonly #planner: Planner;

  constructor(step: Partial<Step> = {}, cap?: Resources) {
    super(cap === undefined ? {} : { cap });
    const lookup = new JobLookup(this.context, this.store);
    this.processor = new ReportProcessor(this.context, this.orders, lookup);
    const quarantine = new Quarantine(this.clock, () => undefined);
    const advice = new AdviceCache(this.context, undefined);
    this.#planner = new Planner(this.context, this.orders, advice, quarantine, {
      requestReport: (target) => this.askedTargets.push(target.id),
      onCopy: (outcome) => this.outcomes.push(outcome),
    });
    this.advance(2_000);
    this.slow = this.addTarget('t1');
    const job = this.addJob(ID, [{ allowsDuplicates: true, ...step }]);
    const task = job.openOccurrence(0).steps[0]?.tasks[0];
    assert.ok(task);
    this.task = task;
    this.plan();
    this.#answerStarts();
  }

  get starts(): string[] {
    const { name } = this.task;
    return this.targetPort.starts.filter(({ task }) => task === name).map(({ target }) => target);
  }

  plan(): void {
    this.#planner.plan();
  }

  /** Lets the run fall behind: it reports little progress for its time. */
  straggle(percent = 30): void {
    this.advance(2_000);
    this.report(this.slow, percent);
  }

  /** Lets a target list the task's runs on it. */
  report(target: TargetRecord, percent: number): void {
    const runs = this.task.attempts.filter(({ targetId }) => targetId === target.id);
    const running = runs.map(({ run }) => ({ ...createRunning(this.task.name, run), percent }));
    this.processor.apply(target, createReport({ running }), this.now);
  }

  /** Starts a copy on `t2`, and lets it begin. */
  copy(): TargetRecord {
    const other = this.addTarget('t2', { labels: OTHER_RACK });
    this.straggle();
    this.plan();
    assert.deepEqual(this.starts, ['t1', 't2']);
    this.#answerStarts();
    return other;
  }

  /** Reports that the task's run on a target has ended. */
  end(target: TargetRecord, kind: EndKind): void {
    const attempt = this.task.attempts.find(({ targetId }) => targetId === target.id);
    assert.ok(attempt);
    const ended = [createEnded(target.appliedThrough + 1, this.task.name, attempt.run, kind)];
    this.processor.apply(target, createReport({ ended }), this.now);
  }

  /** Starts so many other tasks that the budget allows another copy. */
  raiseBudget(): void {
    const request = { cpuMillis: 1, memoryMb: 1, gpus: 0 };
    this.addJob('0000000000000002', [{ count: 11, request }]);
    this.plan();
  }

  planLater(): void {
    this.advance(200);
    this.plan();
  }

  #answerStarts(): void {
    for (const attempt of this.task.attempts) {
      const target = this.fleet.find(attempt.targetId);
      if (target === undefined || attempt.phase !== AttemptPhase.Starting) continue;
      this.orders.applyStartOutcome(target, { task: this.task, attempt }, StartOutcome.Accepted);
    }
  }
}
