import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  decideAdmission,
  decodeEvidence,
  encodeEvidence,
  type AdmissionEvidence,
} from '@currantgap/admission';
import { VmState, type Vm } from '@currantgap/model';
import { AdmissionPort, AdmissionPublisher, type PoolGauges } from '../src/admission-publisher.ts';
import type { PlacedVm } from '../src/pool-supply.ts';
import { CORE, createStoredJob, createTarget, ROUTE, TermHarness } from './term-harness.ts';

const PERIOD_MS = 250;

class RecordingAdmissionPort extends AdmissionPort {
  readonly published: AdmissionEvidence[] = [];
  gauges: readonly PoolGauges[] = [];

  publish(evidence: AdmissionEvidence): void {
    this.published.push(evidence);
  }

  observe(pools: readonly PoolGauges[]): void {
    this.gauges = pools;
  }
}

describe('AdmissionPublisher', () => {
  /** Sweeps with one target of four cores and jobs of one core and second. */
  function createOverload(jobs: number, spare = 0) {
    const harness = new TermHarness();
    const port = new RecordingAdmissionPort();
    harness.addTarget('t1');
    const vms = Array.from({ length: spare }, (_, number): PlacedVm => {
      const { capacity, labels, dataCentre } = createTarget('t1');
      const name = `spare-${number}`;
      const vm: Vm = {
        name,
        pool: 'reserve',
        state: VmState.Up,
        dataCentre,
        labels,
        capacity,
        targetId: undefined,
      };
      return { vm, pool: 'reserve' };
    });
    harness.configuration = {
      ...harness.configuration,
      services: [
        ...harness.configuration.services,
        { name: 'reserve', isCapacityEnforced: true, isSpare: true },
      ],
    };
    for (let number = 0; number < jobs; number += 1) harness.addJob(`job-${number}`, [{}]);
    const publisher = new AdmissionPublisher(harness.context, port, () => vms);
    const sweep = (): void => {
      harness.advance(PERIOD_MS);
      publisher.sweep();
    };
    return { harness, port, publisher, sweep };
  }

  function isRefused(evidence: AdmissionEvidence | undefined): boolean {
    if (evidence === undefined) return false;
    const { submission } = createStoredJob('id', [{}]);
    const request = { id: 'id', route: ROUTE, team: 'kurzeme', submission, patience: 1 };
    const held = { evidence, computedAt: 0, expiresAt: 1 };
    return decideAdmission(request, held, 0) !== undefined;
  }

  it('publishes nothing while the pool keeps up', () => {
    const { port, sweep } = createOverload(3);
    sweep();
    assert.deepEqual(port.published, []);
    assert.equal(port.gauges.find(({ service }) => service === 'kartes')?.waitingCores, 3);
  });

  it('publishes a backlog of ten times the capacity, and once when it has gone', () => {
    const { harness, port, sweep } = createOverload(40);
    sweep();
    assert.equal(isRefused(port.published.at(-1)), true);
    assert.equal(port.published[0]?.largestTask.cpuMillis, 4 * CORE);
    harness.context.active.clear();
    for (let period = 0; period < 4; period += 1) sweep();
    assert.equal(port.published.length, 2);
    assert.deepEqual(port.published[1]?.pools, []);
  });

  // Guards against tasks for a VM of the spare pool that are refused as too large before the VMs are listed.
  it('takes no task for too large while the VMs are not known', () => {
    const { harness, port } = createOverload(40);
    const publisher = new AdmissionPublisher(harness.context, port, () => undefined);
    harness.advance(PERIOD_MS);
    publisher.sweep();
    const [evidence] = port.published;
    assert.ok(evidence);
    assert.ok(evidence.largestTask.cpuMillis > 1_000 * CORE);
    assert.ok(decodeEvidence(JSON.parse(JSON.stringify(encodeEvidence(evidence)))).isOk());
  });

  it('publishes at most once a period', () => {
    const { port, publisher, sweep } = createOverload(40);
    sweep();
    publisher.sweep();
    assert.equal(port.published.length, 1);
  });

  it('refuses nothing that switched-off VMs can serve once they are moved', () => {
    const { port, sweep } = createOverload(40, 20);
    sweep();
    assert.equal(isRefused(port.published.at(-1)), false);
  });

  describe('after a change of owner', () => {
    function createTakeOver(tasks: readonly string[] | undefined) {
      const overload = createOverload(0);
      const { harness } = overload;
      for (let number = 0; number < 40; number += 1) harness.addJob(`old-${number}`, [{}], true);
      harness.context.reconciliation.expectReport({ id: 't2', service: ROUTE.service, tasks });
      return overload;
    }

    it('does not take runs on targets that have not reported for waiting work', () => {
      for (const tasks of [
        undefined,
        Array.from({ length: 40 }, (_, number) => `old-${number}.0.0.0`),
      ]) {
        const { port, sweep } = createTakeOver(tasks);
        sweep();
        assert.deepEqual(port.published, []);
      }
    });

    it('publishes at once what surely waits, before all targets have reported', () => {
      const { port, sweep } = createTakeOver(['old-0.0.0.0']);
      sweep();
      assert.equal(isRefused(port.published.at(-1)), true);
    });
  });

  it('does not count work that misses its objective anyway', () => {
    const { harness, port, sweep } = createOverload(40);
    harness.advance(10_000);
    sweep();
    assert.deepEqual(port.published, []);
  });
});
