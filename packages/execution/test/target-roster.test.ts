import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { OWNER_PART } from '@currantgap/ownership';
import { StoreFailure, waitUntil } from '@currantgap/standins';
import { PageSizer, type Row } from '@currantgap/store';
import { AttemptPhase } from '@currantgap/jobs';
import { readOwnerRows } from '../src/owner-rows.ts';
import { RosterState } from '../src/roster-state.ts';
import { buildAttempt } from '../src/run-orders.ts';
import type { TargetRecord } from '../src/target-record.ts';
import { ROSTER_TABLE } from '../src/target-roster.ts';
import { LEASE_MS, TermHarness } from './term-harness.ts';

const ID = '0000000000000001';
const ROW = { table: ROSTER_TABLE, part: OWNER_PART, key: 't1' };

async function createHarness(): Promise<{ harness: TermHarness; target: TargetRecord }> {
  const harness = new TermHarness();
  await harness.writeFence();
  const target = harness.addTarget('t1');
  target.rosterState = RosterState.Absent;
  return { harness, target };
}

/** Sweeps until the roster row of the target has a state. */
async function sweepUntil(
  harness: TermHarness,
  target: TargetRecord,
  state: RosterState,
): Promise<void> {
  await waitUntil(() => {
    harness.context.roster.sweep();
    return target.rosterState === state;
  });
}

function assignTask(harness: TermHarness, target: TargetRecord): string {
  const job = harness.addJob(ID, [{}]);
  const [task] = job.openOccurrence(0).steps[0]?.tasks ?? [];
  assert.ok(task !== undefined);
  const attempt = buildAttempt(target, 1, AttemptPhase.Running, harness.now);
  harness.fleet.assign(target, task, attempt);
  return task.name;
}

async function readRoster(harness: TermHarness): Promise<readonly Row[]> {
  const pageSizer = new PageSizer(1_000);
  const getRows = await readOwnerRows(harness.store, [ROSTER_TABLE], pageSizer, () => true);
  return getRows(ROSTER_TABLE);
}

/** Lists what a successor expects, from the rows that are in the store now. */
async function readPending(harness: TermHarness): Promise<readonly string[]> {
  const successor = new TermHarness();
  const rows = await readRoster(harness);
  successor.context.roster.load(rows);
  const { reconciliation } = successor.context;
  return reconciliation
    .listPending(successor.now)
    .map(({ id, tasks }) => (tasks === undefined ? id : `${id}: ${tasks.join()}`));
}

describe('TargetRoster', { concurrency: true }, () => {
  it('lists a target for a successor before the target may get work', async () => {
    const { harness, target } = await createHarness();
    assert.equal(target.isOpen(harness.now), false);
    await sweepUntil(harness, target, RosterState.Listed);
    assert.ok(target.isOpen(harness.now));
    assert.deepEqual(await readPending(harness), ['t1']);
  });

  // Guards against a task whose end there is not stored yet: a successor would start it elsewhere (TWICE).
  it('lists a silent target with all tasks until the ends that it has reported are stored', async () => {
    const { harness, target } = await createHarness();
    const task = assignTask(harness, target);
    target.appliedThrough = 1;
    target.unansweredCalls = 1;
    await sweepUntil(harness, target, RosterState.Listed);
    assert.deepEqual(await readPending(harness), ['t1']);
    target.acknowledgedThrough = 1;
    await sweepUntil(harness, target, RosterState.Silent);
    assert.deepEqual(await readPending(harness), [`t1: ${task}`]);
  });

  it('lists the tasks of a silent target, and gives it no work until it is listed again', async () => {
    const { harness, target } = await createHarness();
    const task = assignTask(harness, target);
    target.unansweredCalls = 1;
    await sweepUntil(harness, target, RosterState.Silent);
    assert.deepEqual(await readPending(harness), [`t1: ${task}`]);
    target.unansweredCalls = 0;
    assert.equal(target.isOpen(harness.now), false);
    await sweepUntil(harness, target, RosterState.Listed);
    assert.ok(target.isOpen(harness.now));
  });

  it('is not reverted by a write that was delayed', async () => {
    const { harness, target } = await createHarness();
    await sweepUntil(harness, target, RosterState.Listed);
    target.unansweredCalls = 1;
    harness.store.failure = StoreFailure.Late;
    const sent = harness.store.commitCount;
    harness.context.roster.sweep();
    await waitUntil(() => harness.store.commitCount > sent);
    target.unansweredCalls = 0;
    harness.store.failure = StoreFailure.None;
    harness.context.roster.sweep();
    assert.equal(target.isOpen(harness.now), false);
    await sweepUntil(harness, target, RosterState.Listed);
    harness.store.applyLateTransactions();
    assert.deepEqual(await readPending(harness), ['t1']);
  });

  it('keeps a target that has left until its leases have expired', async () => {
    const { harness, target } = await createHarness();
    await sweepUntil(harness, target, RosterState.Listed);
    target.leasesExpireAt = harness.now + LEASE_MS;
    harness.fleet.unregister('t1');
    harness.context.roster.sweep();
    assert.notEqual(harness.store.peek(ROW), undefined);
    harness.advance(LEASE_MS);
    harness.context.roster.sweep();
    await waitUntil(() => harness.store.peek(ROW) === undefined);
  });

  it('drops a target at once whose VM was taken away, so that no successor waits for it', async () => {
    const { harness, target } = await createHarness();
    await sweepUntil(harness, target, RosterState.Listed);
    target.leasesExpireAt = harness.now + LEASE_MS;
    harness.fleet.terminate(target, harness.now);
    harness.context.roster.sweep();
    await waitUntil(() => harness.store.peek(ROW) === undefined);
  });

  it('keeps the targets of an earlier term that have not reported yet', async () => {
    const { harness, target } = await createHarness();
    await sweepUntil(harness, target, RosterState.Listed);
    const successor = new TermHarness();
    const rows = await readRoster(harness);
    successor.context.roster.load(rows);
    successor.context.roster.sweep();
    assert.deepEqual(
      successor.context.reconciliation.listPending(successor.now).map(({ id }) => id),
      ['t1'],
    );
  });

  it('skips rows that cannot be decoded', () => {
    const harness = new TermHarness();
    for (const value of ['', 'null', '[]', '{"service":1}', '{']) {
      const row = { ...ROW, value, version: 3, isDeleted: false };
      harness.context.roster.load([row]);
    }
    assert.deepEqual(harness.context.reconciliation.listPending(harness.now), []);
  });
});
