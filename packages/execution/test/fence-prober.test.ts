import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it, mock } from 'node:test';
import { ResponseTimes } from '@currantgap/scheduling';
import { LATEST_EXECUTION_MS } from '../src/call-timing.ts';
import { FenceProber, PROBE_INTERVAL_MS, PROBES_PER_ROUND } from '../src/fence-prober.ts';
import { LeaseRenewer } from '../src/lease-renewer.ts';
import { RegistryReader } from '../src/registry-reader.ts';
import type { TargetRecord } from '../src/target-record.ts';
import { createTarget, PREDECESSOR, TermHarness, TOKEN } from './term-harness.ts';

const ROW = { table: 'servers', part: '', key: 't1', value: '', version: 1, isDeleted: false };

/** Targets whose renewals and probes get no answer. */
class SilentTargets extends TermHarness {
  readonly renewer = new LeaseRenewer(this.context, new ResponseTimes());
  readonly #prober = new FenceProber(this.context, this.renewer);

  /** Adds a silent target that has left a start unanswered. */
  addExposed(id: string): TargetRecord {
    const target = this.addTarget(id);
    target.expectLateCall(this.now);
    this.renewer.recordSilence(target);
    return target;
  }

  readEntry(bornAt: number, isSnapshot: boolean): void {
    const registry = { table: 'servers', decode: () => createTarget('t1', { bornAt }) };
    new RegistryReader(this.context, registry).apply([ROW], isSnapshot);
  }

  /** Lets rounds of probes pass; returns the ids of their targets. */
  probe(rounds: number): readonly string[] {
    const sent = this.targetPort.leaseRenewals.length;
    this.#prober.sweep();
    for (let round = 1; round < rounds; round += 1) {
      this.advance(PROBE_INTERVAL_MS);
      mock.timers.tick(PROBE_INTERVAL_MS);
      if (this.messages.pop()?.kind === 'probe') this.#prober.sweep();
    }
    return this.targetPort.leaseRenewals.slice(sent).map(({ target }) => target);
  }
}

// Review case 11, TWICE: an executor left a start unanswered, crashed after the task was done elsewhere, and
// carried the start out 50 ms after its return, before a call with a fencing token had reached it.
describe('the next incarnation of a target that left a start unanswered', () => {
  let targets: SilentTargets;

  beforeEach(() => {
    mock.timers.enable({ apis: ['setTimeout'] });
    targets = new SilentTargets();
  });

  afterEach(() => {
    mock.timers.reset();
  });

  it('is asked for a report with a raised token every few milliseconds while the target is silent', () => {
    targets.addExposed('t1');
    assert.equal(targets.probe(20).length, 20);
    assert.ok(targets.targetPort.leaseRenewals.every(({ token }) => token === TOKEN + 1));
  });

  it('is asked for a report as it registers, although the former one still owes an answer', () => {
    targets.addTarget('t1').bornAt = 1;
    targets.renewer.sendDue();
    targets.readEntry(2, false);
    targets.renewer.sendDue();
    const tokens = targets.targetPort.leaseRenewals.map(({ token }) => token);
    assert.deepEqual(tokens, [TOKEN, TOKEN + 1]);
  });

  it('is probed until the start is carried out no more, although the registry lacks the target', () => {
    const target = targets.addExposed('t1');
    targets.fleet.unregister('t1');
    for (const [elapsedMs, probes] of [
      [LATEST_EXECUTION_MS - 100, 2],
      [100, 0],
    ] as const) {
      targets.advance(elapsedMs);
      mock.timers.tick(PROBE_INTERVAL_MS);
      Object.assign(target, { isRenewalInFlight: false, renewNotBefore: 0 });
      targets.renewer.sendDue();
      assert.equal(targets.fleet.find('t1') !== undefined, probes > 0);
      assert.equal(targets.probe(2).length, probes);
    }
  });

  it('is probed by a new owner, which does not know what starts its predecessor has sent', () => {
    targets = new SilentTargets({ predecessor: PREDECESSOR });
    targets.readEntry(1, true);
    for (const target of targets.fleet.targets) targets.renewer.recordSilence(target);
    assert.equal(targets.probe(3).length, 3);
  });

  it('costs a bounded number of probes, and none after a silence without such a start', () => {
    targets.renewer.recordSilence(targets.addTarget('t0'));
    const ids = Array.from({ length: 20 }, (_, index) => targets.addExposed(`t${index + 1}`).id);
    const probes = targets.probe(20);
    assert.equal(probes.length, 20 * PROBES_PER_ROUND);
    const counts = ids.map((id) => probes.filter((target) => target === id).length);
    assert.deepEqual(new Set(counts), new Set([PROBES_PER_ROUND]));
  });
});
