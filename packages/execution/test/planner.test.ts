import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { TargetState } from '@currantgap/model';
import { waitUntil } from '@currantgap/standins';
import { AdviceCache } from '../src/advice-cache.ts';
import { Quarantine } from '../src/quarantine.ts';
import { RunOrders } from '../src/run-orders.ts';
import { Planner } from '../src/planner.ts';
import { RosterState } from '../src/roster-state.ts';
import { CORE, ROUTE, TermHarness } from './term-harness.ts';

const ID = '0000000000000001';

function plan(harness: TermHarness): string[] {
  const { context } = harness;
  const advice = new AdviceCache(context, undefined);
  const quarantine = new Quarantine(context.clock, () => undefined);
  const copying = { requestReport: () => undefined };
  new Planner(context, new RunOrders(context), advice, quarantine, copying).plan();
  return harness.targetPort.starts.map(({ task, target }) => `${task} on ${target}`);
}

describe('Planner', () => {
  it('starts no more tasks than the target has capacity for', () => {
    const harness = new TermHarness();
    harness.addTarget('t1');
    harness.addJob(ID, [{ count: 6 }]);
    assert.equal(plan(harness).length, 4);
  });

  it('does not start a step until the steps that it depends on are done', () => {
    const harness = new TermHarness();
    harness.addTarget('t1');
    harness.addJob(ID, [{}, { after: [0] }]);
    assert.deepEqual(plan(harness), [`${ID}.0.0.0 on t1`]);
  });

  it('starts nothing in an evacuated data centre or on a draining target', () => {
    const harness = new TermHarness();
    harness.addTarget('t1');
    harness.addTarget('t2', { dataCentre: 'cesis', state: TargetState.Draining });
    harness.evacuated = new Set(['riga-a']);
    harness.addJob(ID, [{}]);
    assert.deepEqual(plan(harness), []);
  });

  it('spreads the tasks of a step with anti-affinity over targets', () => {
    const harness = new TermHarness();
    harness.addTarget('t1');
    harness.addTarget('t2');
    harness.addJob(ID, [{ count: 4, antiAffinity: 1 }]);
    const starts = plan(harness);
    assert.equal(starts.length, 2);
    assert.notEqual(starts[0]?.split(' ').at(-1), starts[1]?.split(' ').at(-1));
  });

  it('starts a step only on a target with the required label', () => {
    const harness = new TermHarness();
    harness.addTarget('t1');
    harness.addTarget('t2', { labels: ['b', 'r2'] });
    harness.addJob(ID, [{ requiredLabel: 'b' }]);
    assert.deepEqual(plan(harness), [`${ID}.0.0.0 on t2`]);
  });

  it('keeps a team within its cap', () => {
    const cap = { cpuMillis: 2 * CORE, memoryMb: 0, gpus: 0 };
    const harness = new TermHarness({ cap });
    harness.addTarget('t1');
    harness.addJob(ID, [{ count: 4 }]);
    assert.equal(plan(harness).length, 2);
  });

  it('starts either all tasks of a gang or none, with one run number', () => {
    const harness = new TermHarness();
    harness.addTarget('t1');
    harness.addJob(ID, [{ count: 5, isGang: true }]);
    assert.deepEqual(plan(harness), []);
    harness.addTarget('t2');
    assert.equal(plan(harness).length, 5);
    assert.equal(new Set(harness.targetPort.starts.map(({ run }) => run)).size, 1);
  });

  it('prefers another target over the one on which a task failed', () => {
    const harness = new TermHarness();
    harness.addTarget('t1');
    const busy = harness.addTarget('t2');
    busy.used.add({ cpuMillis: CORE, memoryMb: 0, gpus: 0 });
    const job = harness.addJob(ID, [{}]);
    job.openOccurrence(0).steps[0]?.tasks[0]?.recordFailedTarget('t1');
    assert.deepEqual(plan(harness), [`${ID}.0.0.0 on t2`]);
  });

  it('starts work of an earlier term only when it cannot be running on any target', () => {
    const harness = new TermHarness();
    harness.context.reconciliation.expectReport({ id: 't9', service: 'kartes' });
    harness.addTarget('t1');
    harness.addJob(ID, [{}], true);
    harness.addJob('0000000000000002', [{}]);
    assert.deepEqual(plan(harness), []);
    harness.advance(1_000);
    assert.deepEqual(plan(harness), ['0000000000000002.0.0.0 on t1']);
    harness.context.reconciliation.recordReport('t9');
    assert.equal(plan(harness).length, 2);
  });

  it('starts nothing while the lease is not renewed and a target is silent', () => {
    const harness = new TermHarness();
    harness.addTarget('t1');
    const lost = harness.addTarget('t2');
    harness.addJob(ID, [{}]);
    harness.hasValidLease = false;
    lost.unansweredCalls = 1;
    assert.deepEqual(plan(harness), []);
    harness.hasValidLease = true;
    assert.equal(plan(harness).length, 1);
  });

  it('starts nothing on a new target before the roster lists it for a successor', async () => {
    const harness = new TermHarness();
    await harness.writeFence();
    const target = harness.addTarget('t1');
    target.rosterState = RosterState.Absent;
    harness.addJob(ID, [{}]);
    harness.context.roster.sweep();
    assert.deepEqual(plan(harness), []);
    await waitUntil(() => target.rosterState === RosterState.Listed);
    assert.equal(plan(harness).length, 1);
  });

  it('keeps starting tasks without the store while all targets answer under its token', () => {
    const harness = new TermHarness();
    harness.addTarget('t1');
    harness.addJob(ID, [{}]);
    harness.hasValidLease = false;
    assert.equal(plan(harness).length, 1);
  });

  // Guards the cap of a team around a take-over: runs that a silent target may still have count.
  it('counts runs of earlier terms on targets that have not reported toward the cap', () => {
    const harness = new TermHarness({ cap: { cpuMillis: 2 * CORE, memoryMb: 0, gpus: 0 } });
    harness.addTarget('t1');
    harness.context.reconciliation.expectReport({ id: 't9', service: 'velves' });
    harness.context.reconciliation.expectReport({ id: 't8', service: 'kartes', tasks: [] });
    const inherited = harness.addJob('00000000000000e1', [{ count: 2 }], true);
    const record = harness.context.active.get(inherited.id);
    assert.ok(record);
    harness.context.active.set(inherited.id, { ...record, route: { ...ROUTE, service: 'velves' } });
    harness.addJob(ID, [{}]);
    harness.advance(1_000);
    assert.deepEqual(plan(harness), []);
    harness.context.reconciliation.recordReport('t9');
    assert.equal(plan(harness).length, 1);
  });

  it('derives run numbers from the epoch, so that those of a later epoch are higher', () => {
    const harness = new TermHarness();
    harness.addTarget('t1');
    harness.addJob(ID, [{ count: 3 }]);
    plan(harness);
    assert.deepEqual(
      harness.targetPort.starts.map(({ run }) => run),
      [10_000_001, 10_000_002, 10_000_003],
    );
  });
});
