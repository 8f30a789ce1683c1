import assert from 'node:assert/strict';
import { beforeEach, describe, it } from 'node:test';
import { EndKind } from '@currantgap/model';
import { ResponseTimes } from '@currantgap/scheduling';
import { err, ok } from 'neverthrow';
import { JobLookup } from '../src/job-lookup.ts';
import { LeaseRenewer } from '../src/lease-renewer.ts';
import { LeaseRenewalFault, type TargetReport } from '../src/ports.ts';
import { ReportProcessor } from '../src/report-processor.ts';
import { ReportReceiver } from '../src/report-receiver.ts';
import { RunExpiry } from '../src/run-expiry.ts';
import { RunOrders } from '../src/run-orders.ts';
import type { TargetRecord } from '../src/target-record.ts';
import {
  createEnded,
  createReport,
  createRunning,
  createTarget,
  flushPromises,
  LEASE_MS,
  TermHarness,
} from './term-harness.ts';

const ID = '0000000000000001';
const RUNNING = `${ID}.0.0.0`;
const ENDED = `${ID}.0.0.1`;
const SWEEP_MS = 5;

/** A new owner that hears of a target after its first snapshot of the registry. */
class NewOwner {
  readonly harness = new TermHarness();
  readonly target: TargetRecord;
  readonly #expiry: RunExpiry;
  readonly #receiver: ReportReceiver;

  constructor() {
    const { context, fleet, store } = this.harness;
    this.harness.addJob(ID, [{ count: 2, isPersistent: true }], true);
    const target = fleet.register(createTarget('t1'), 0);
    assert.ok(target);
    this.target = target;
    const orders = new RunOrders(context);
    const lookup = new JobLookup(context, store);
    const processor = new ReportProcessor(context, orders, lookup);
    const renewer = new LeaseRenewer(context, new ResponseTimes());
    this.#expiry = new RunExpiry(context, orders, processor);
    this.#receiver = new ReportReceiver(context, processor, renewer);
  }

  get isAssigned(): boolean {
    return this.target.find(RUNNING, 4) !== undefined;
  }

  /** Applies a report of a renewal, `latencyMs` after it was sent. */
  receive(report: TargetReport | undefined, latencyMs = 1): void {
    const sentAt = this.harness.now;
    this.harness.advance(latencyMs);
    const { target } = this;
    const { renewal, bornAt: knownBornAt } = target;
    const result = report === undefined ? err(LeaseRenewalFault.NoAnswer) : ok(report);
    this.#receiver.applyRenewal({
      kind: 'held',
      target,
      renewal,
      acknowledgedThrough: 0,
      sentAt,
      knownBornAt,
      token: target.fence.token,
      report: result,
    });
  }

  /** Lets time pass and sweeps as an owner does. */
  sweep(durationMs: number): void {
    const end = this.harness.now + durationMs;
    while (this.harness.now < end) {
      this.harness.advance(SWEEP_MS);
      this.#expiry.sweep();
    }
  }
}

function createFirstReport(ends: number): TargetReport {
  const ended = Array.from({ length: ends }, (_, index) => ({
    ...createEnded(index + 1, ENDED, index + 1, EndKind.Stopped),
    checkpoint: 'c',
  }));
  return createReport({ clockMs: 100_000, running: [createRunning(RUNNING, 4)], ended });
}

describe('a run of an earlier term on a target that the new owner hears of late', () => {
  let owner: NewOwner;

  beforeEach(() => {
    owner = new NewOwner();
  });

  for (const ends of [0, 6]) {
    // Guards against TWICE: a run was adopted, given up 5 ms later and started elsewhere.
    it(`is not lost before the next renewal, with ${ends} ends to store first`, () => {
      owner.receive(createFirstReport(ends));
      assert.ok(owner.isAssigned);
      owner.sweep(LEASE_MS - 100);
      assert.ok(owner.isAssigned);
    });
  }

  it('is not lost while the renewals after the first report are slow or lost', () => {
    owner.receive(createFirstReport(6));
    owner.receive(undefined, 700);
    owner.sweep(300);
    owner.receive(undefined, 700);
    owner.sweep(LEASE_MS - 2_000);
    assert.ok(owner.isAssigned);
  });

  it('is lost once no lease of an earlier term can last', () => {
    owner.receive(createFirstReport(0));
    owner.sweep(LEASE_MS * 1.1 + 200);
    assert.equal(owner.isAssigned, false);
  });

  it('stays while reports list it, although its lease was not renewed', () => {
    owner.harness.hasValidLease = false;
    owner.harness.addTarget('t2').unansweredCalls = 1;
    owner.receive(createFirstReport(0));
    for (let report = 1; report < 20; report += 1) {
      owner.sweep(700);
      const running = [createRunning(RUNNING, 4)];
      owner.receive(createReport({ clockMs: 100_000 + report * 700, running }));
      assert.ok(owner.isAssigned, `report ${report}`);
    }
  });

  it('has its lease renewed at once, although ends must be stored first', async () => {
    owner.receive(createFirstReport(6));
    await flushPromises();
    const renewals = owner.harness.targetPort.leaseRenewals;
    assert.equal(renewals.filter(({ deadline }) => deadline !== undefined).length, 1);
  });
});
