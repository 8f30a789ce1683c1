import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';
import { ResponseTimes } from '@currantgap/scheduling';
import { LATEST_EXECUTION_MS } from '../src/call-timing.ts';
import { FenceProber, PROBE_INTERVAL_MS, PROBES_PER_ROUND } from '../src/fence-prober.ts';
import { JobLookup } from '../src/job-lookup.ts';
import { LeaseRenewer } from '../src/lease-renewer.ts';
import { StartOutcome } from '../src/ports.ts';
import { RegistryReader } from '../src/registry-reader.ts';
import { ReportProcessor } from '../src/report-processor.ts';
import { RunOrders } from '../src/run-orders.ts';
import type { TargetRecord } from '../src/target-record.ts';
import {
  createReport,
  createTarget,
  PREDECESSOR,
  TermHarness,
  TOKEN,
  type HarnessOptions,
} from './term-harness.ts';

/** Targets of an owner whose renewals and probes get no answer. */
class Scenario {
  readonly harness: TermHarness;
  readonly renewer: LeaseRenewer;
  readonly prober: FenceProber;
  readonly #orders: RunOrders;
  readonly #processor: ReportProcessor;
  #jobs = 0;

  constructor(options: HarnessOptions = {}) {
    this.harness = new TermHarness(options);
    const { context, store } = this.harness;
    this.#orders = new RunOrders(context);
    this.#processor = new ReportProcessor(context, this.#orders, new JobLookup(context, store));
    this.renewer = new LeaseRenewer(context, new ResponseTimes());
    this.prober = new FenceProber(context, this.renewer);
  }

  /** Adds a target that leaves the start of a task unanswered, whose task is free again after its report. */
  addTargetWithLateStart(id: string): TargetRecord {
    const { harness } = this;
    const target = harness.addTarget(id);
    this.#processor.apply(target, createReport(), harness.now, TOKEN);
    this.#jobs += 1;
    const job = harness.addJob(`00000000000000${String(this.#jobs).padStart(2, '0')}`, [{}]);
    const task = job.openOccurrence(0).steps[0]?.tasks[0];
    assert.ok(task);
    this.#orders.start(task, target, 10_001);
    const [attempt] = task.attempts;
    assert.ok(attempt);
    this.#orders.applyStartOutcome(target, { task, attempt }, StartOutcome.Abandoned);
    attempt.stopAnsweredAt = harness.now;
    harness.advance(1);
    this.#processor.apply(target, createReport(), harness.now, TOKEN);
    assert.equal(task.isActive, false);
    return target;
  }

  /** Lets a number of rounds pass; returns the targets of the probes, with their tokens. */
  probe(rounds: number): readonly { readonly target: string; readonly token: number }[] {
    const { messages, targetPort } = this.harness;
    const { leaseRenewals } = targetPort;
    const sent = leaseRenewals.length;
    this.prober.sweep();
    for (let round = 1; round < rounds; round += 1) {
      this.harness.advance(PROBE_INTERVAL_MS);
      mock.timers.tick(PROBE_INTERVAL_MS);
      if (messages.pop()?.kind === 'probe') this.prober.sweep();
    }
    return leaseRenewals.slice(sent).map(({ target, token }) => ({ target, token }));
  }
}

// Review case 11, TWICE: an executor left a start unanswered, crashed after the task was done elsewhere, and
// carried the start out 50 ms after its return, before a call with a fencing token had reached it.
describe('the next incarnation of a target that left a start unanswered', () => {
  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
  });

  afterEach(() => {
    mock.timers.reset();
  });

  it('is asked for a report with a raised token every few milliseconds while the target is silent', () => {
    const scenario = new Scenario();
    const target = scenario.addTargetWithLateStart('t1');
    scenario.renewer.recordSilence(target);
    const probes = scenario.probe(20);
    assert.equal(probes.length, 20);
    assert.ok(probes.every(({ token }) => token === TOKEN + 1));
  });

  it('is asked for a report as it registers, although the former one still owes an answer', () => {
    const { harness, renewer } = new Scenario();
    const target = harness.addTarget('t1');
    target.bornAt = 1;
    renewer.sendDue();
    assert.ok(target.isRenewalInFlight);
    const decode = () => createTarget('t1', { bornAt: 2 });
    const row = { table: 'servers', part: '', key: 't1', value: '', version: 1, isDeleted: false };
    new RegistryReader(harness.context, { table: 'servers', decode }).apply([row], false);
    renewer.sendDue();
    const tokens = harness.targetPort.leaseRenewals.map(({ token }) => token);
    assert.deepEqual(tokens, [TOKEN, TOKEN + 1]);
  });

  it('is probed although the registry lacks the target, until the start is carried out no more', () => {
    const scenario = new Scenario();
    const { harness, renewer } = scenario;
    const target = scenario.addTargetWithLateStart('t1');
    renewer.recordSilence(target);
    harness.fleet.unregister('t1');
    harness.advance(LATEST_EXECUTION_MS - 100);
    target.isRenewalInFlight = false;
    renewer.sendDue();
    assert.equal(harness.fleet.find('t1'), target);
    assert.equal(scenario.probe(2).length, 2);
    harness.advance(100);
    mock.timers.tick(PROBE_INTERVAL_MS);
    assert.equal(scenario.probe(2).length, 0);
    target.isRenewalInFlight = false;
    target.renewNotBefore = 0;
    renewer.sendDue();
    assert.equal(harness.fleet.find('t1'), undefined);
  });

  it('is probed by a new owner, which does not know what starts its predecessor has sent', () => {
    const scenario = new Scenario({ predecessor: PREDECESSOR });
    const { harness, renewer } = scenario;
    const decode = () => createTarget('t1');
    const row = { table: 'servers', part: '', key: 't1', value: '', version: 1, isDeleted: false };
    new RegistryReader(harness.context, { table: 'servers', decode }).apply([row], true);
    const target = harness.fleet.find('t1');
    assert.ok(target);
    renewer.recordSilence(target);
    assert.equal(scenario.probe(3).length, 3);
  });

  it('costs a bounded number of probes, however many targets are silent', () => {
    const scenario = new Scenario();
    const ids = Array.from({ length: 20 }, (_, index) => `t${index}`);
    for (const id of ids) scenario.renewer.recordSilence(scenario.addTargetWithLateStart(id));
    const probes = scenario.probe(20);
    assert.equal(probes.length, 20 * PROBES_PER_ROUND);
    const counts = ids.map((id) => probes.filter(({ target }) => target === id).length);
    assert.ok(counts.every((count) => count === PROBES_PER_ROUND));
  });

  it('needs no probes after a silence in which no start was left unanswered', () => {
    const scenario = new Scenario();
    scenario.renewer.recordSilence(scenario.harness.addTarget('t1'));
    assert.equal(scenario.probe(5).length, 0);
  });
});
