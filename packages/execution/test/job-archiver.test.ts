import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Job } from '@currantgap/jobs';
import { JobState } from '@currantgap/model';
import { OWNER_PART } from '@currantgap/ownership';
import { StoreFailure, waitUntil } from '@currantgap/standins';
import type { RowKey } from '@currantgap/store';
import {
  decodeEndedJob,
  ENDED_TABLE,
  getCancelKey,
  getIntakePart,
  INTAKE_TABLE,
} from '../src/intake-tables.ts';
import { JobArchiver } from '../src/job-archiver.ts';
import { LEDGER_TABLE } from '../src/ledger.ts';
import { RunOrders, takeRunNumber } from '../src/run-orders.ts';
import { flushPromises, TermHarness } from './term-harness.ts';

const ID = '00000000000000a1';
const WAIT_MS = 1_000;
const getIntakeKey = (key: string): RowKey => ({
  table: INTAKE_TABLE,
  part: getIntakePart(ID),
  key,
});
const ENDED = { table: ENDED_TABLE, part: getIntakePart(ID), key: ID };
const LEDGER = { table: LEDGER_TABLE, part: OWNER_PART, key: ID };

async function putIntakeRows(harness: TermHarness, ...keys: string[]): Promise<void> {
  const puts = keys.map((key) => ({ ...getIntakeKey(key), value: '{}' }));
  await harness.store.commit({ conditions: [], puts, removals: [] });
}

/** Creates a job whose end and submission are stored. */
async function createEndedJob(): Promise<{
  harness: TermHarness;
  archiver: JobArchiver;
  job: Job;
}> {
  const harness = new TermHarness();
  await harness.writeFence();
  await putIntakeRows(harness, ID, getCancelKey(ID));
  const job = harness.addJob(ID, [{}]);
  job.state = JobState.Completed;
  job.endedAt = 17;
  harness.context.ledger.add(job);
  await waitUntil(() => harness.endedJobs.includes(job));
  const archiver = new JobArchiver(harness.context, harness.store);
  archiver.add(job);
  return { harness, archiver, job };
}

describe('JobArchiver', () => {
  it('moves an ended job out of the intake, and then removes its ledger row', async () => {
    const { harness, archiver } = await createEndedJob();
    harness.advance(WAIT_MS);
    archiver.sweep();
    await flushPromises();
    assert.equal(harness.store.peek(getIntakeKey(ID)), undefined);
    assert.equal(harness.store.peek(getIntakeKey(getCancelKey(ID))), undefined);
    assert.deepEqual(decodeEndedJob(harness.store.peek(ENDED)?.value ?? ''), {
      state: JobState.Completed,
      endedAt: 17,
    });
    await waitUntil(() => harness.store.peek(LEDGER) === undefined);
    assert.equal(harness.context.jobs.find(ID), undefined);
    assert.equal(harness.context.jobs.findArchived(ID)?.state, JobState.Completed);
  });

  it('keeps the ledger row until the move is confirmed', async () => {
    const { harness, archiver } = await createEndedJob();
    harness.advance(WAIT_MS);
    harness.store.failure = StoreFailure.ResponseLost;
    archiver.sweep();
    await flushPromises();
    assert.notEqual(harness.store.peek(ENDED), undefined);
    assert.notEqual(harness.store.peek(LEDGER), undefined);
    harness.store.failure = StoreFailure.None;
    await waitUntil(() => {
      harness.advance(WAIT_MS);
      archiver.sweep();
      return harness.store.peek(LEDGER) === undefined;
    });
  });

  it('does not accept an archived job again when its submission is delivered late', async () => {
    const { harness, archiver } = await createEndedJob();
    const row = { ...getIntakeKey(ID), value: '{}', version: 2, isDeleted: false };
    harness.advance(WAIT_MS);
    archiver.sweep();
    await flushPromises();
    assert.equal(harness.context.jobs.applyRow(row), undefined);
    assert.equal(harness.context.jobs.find(ID), undefined);
  });

  it('keeps a job as long as a run of it has not ended', async () => {
    const { harness, archiver, job } = await createEndedJob();
    const target = harness.addTarget('t1');
    const task = job.openOccurrence(0).steps[0]?.tasks[0];
    assert.ok(task);
    const orders = new RunOrders(harness.context);
    orders.start(task, target, takeRunNumber(harness.context, task));
    harness.advance(WAIT_MS);
    archiver.sweep();
    await flushPromises();
    assert.notEqual(harness.store.peek(getIntakeKey(ID)), undefined);
    const [attempt] = task.attempts;
    assert.ok(attempt);
    harness.fleet.unassign(target, { task, attempt });
    harness.advance(WAIT_MS);
    archiver.sweep();
    await flushPromises();
    assert.equal(harness.store.peek(getIntakeKey(ID)), undefined);
  });

  it('removes a cancel request without a submission, but not one whose submission is there', async () => {
    const harness = new TermHarness();
    const archiver = new JobArchiver(harness.context, harness.store);
    await putIntakeRows(harness, getCancelKey(ID));
    await archiver.removeOrphan(ID);
    assert.equal(harness.store.peek(getIntakeKey(getCancelKey(ID))), undefined);
    await putIntakeRows(harness, ID, getCancelKey(ID));
    await archiver.removeOrphan(ID);
    assert.notEqual(harness.store.peek(getIntakeKey(getCancelKey(ID))), undefined);
  });
});
