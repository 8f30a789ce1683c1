import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { JobState } from '@currantgap/model';
import { FENCE_ROW, OWNER_PART } from '@currantgap/ownership';
import { StoreFailure, waitUntil } from '@currantgap/standins';
import { setTimeout as sleep } from 'node:timers/promises';
import { LEDGER_TABLE } from '../src/ledger.ts';
import { joinParts } from '../src/row-parts.ts';
import { TermHarness } from './term-harness.ts';

const ID = '0000000000000001';
const ROW = { table: LEDGER_TABLE, part: OWNER_PART, key: ID };

describe('the ledger', () => {
  it('reports a change as written and updates the stored state only after the write', async () => {
    const harness = new TermHarness();
    await harness.writeFence();
    const job = harness.addJob(ID, [{}]);
    job.state = JobState.Completed;
    const changeNumber = harness.context.ledger.add(job);
    assert.equal(job.storedState, JobState.Pending);
    await waitUntil(() => harness.writtenChanges.includes(changeNumber));
    assert.equal(job.storedState, JobState.Completed);
    assert.equal(job.ledgerVersion, harness.store.peek(ROW)?.version);
  });

  // Guards against submissions that a new owner leaves out of the count although none of their tasks began.
  it('tells a successor whether a task of a job has begun', async () => {
    for (const hasStarted of [false, true]) {
      const harness = new TermHarness();
      await harness.writeFence();
      const job = harness.addJob(ID, [{}]);
      job.hasStarted = hasStarted;
      const changeNumber = harness.context.ledger.add(job);
      await waitUntil(() => harness.writtenChanges.includes(changeNumber));
      const row = harness.store.peek(ROW);
      assert.ok(row);
      const successor = new TermHarness();
      successor.context.jobs.loadLedgerRows(joinParts([row]));
      assert.equal(successor.addJob(ID, [{}]).hasStarted, hasStarted);
    }
  });

  it('detects that a write without a response was committed', async () => {
    const harness = new TermHarness();
    await harness.writeFence();
    const job = harness.addJob(ID, [{}]);
    harness.store.failure = StoreFailure.ResponseLost;
    const changeNumber = harness.context.ledger.add(job);
    await waitUntil(() => harness.store.peek(ROW) !== undefined);
    harness.store.failure = StoreFailure.None;
    await waitUntil(() => harness.writtenChanges.some((written) => written >= changeNumber));
    assert.equal(job.ledgerVersion, harness.store.peek(ROW)?.version);
  });

  it('is not overwritten by an earlier write that is committed late', async () => {
    const harness = new TermHarness();
    await harness.writeFence();
    const job = harness.addJob(ID, [{}]);
    harness.store.failure = StoreFailure.Late;
    harness.context.ledger.add(job);
    const sent = harness.store.commitCount;
    await waitUntil(() => harness.store.commitCount > sent);
    harness.store.failure = StoreFailure.None;
    job.state = JobState.Completed;
    const changeNumber = harness.context.ledger.add(job);
    await waitUntil(() => harness.writtenChanges.some((written) => written >= changeNumber));
    harness.store.applyLateTransactions();
    assert.match(harness.store.peek(ROW)?.value ?? '', /completed/);
  });

  it('gives up the term when another node has changed the fence row', async () => {
    const harness = new TermHarness();
    await harness.writeFence();
    const puts = [{ ...FENCE_ROW, value: '2' }];
    await harness.store.commit({ conditions: [], puts, removals: [] });
    harness.context.ledger.add(harness.addJob(ID, [{}]));
    await waitUntil(() => harness.deposeReasons.length > 0);
    assert.deepEqual(harness.deposeReasons, ['fenced']);
    assert.equal(harness.store.peek(ROW), undefined);
    harness.context.writer.stop();
  });

  it('leaves half of the time of a slow store to lease renewals', async () => {
    const harness = new TermHarness();
    await harness.writeFence();
    harness.store.transactionMs = 200;
    const commits = harness.store.commitCount;
    const startedAt = performance.now();
    for (let number = 0; number < 40; number += 1) {
      harness.context.ledger.add(harness.addJob(`00000000000000${number + 10}`, [{}]));
      await sleep(50);
    }
    // A write takes 200 ms and is followed by as long a pause; sleeping takes longer under load.
    const elapsedMs = performance.now() - startedAt;
    const count = harness.store.commitCount - commits;
    assert.ok(count <= 1 + Math.ceil(elapsedMs / 400), `${count} in ${elapsedMs} ms`);
    harness.context.writer.stop();
  });

  it('reports no change as written while a job of a failed attempt is pending behind others', async () => {
    const harness = new TermHarness();
    await harness.writeFence();
    const { ledger } = harness.context;
    harness.store.failure = StoreFailure.Late;
    harness.store.clientTimeoutMs = 50;
    const commits = harness.store.commitCount;
    const changeNumber = ledger.add(harness.addJob(ID, [{}]));
    await waitUntil(() => harness.store.commitCount > commits);
    for (let number = 0; number < 60; number += 1) {
      ledger.add(harness.addJob(`00000000000001${number + 10}`, [{}]));
    }
    await sleep(100);
    harness.store.failure = StoreFailure.None;
    await waitUntil(() => harness.writtenChanges.some((written) => written >= changeNumber));
    assert.notEqual(harness.store.peek(ROW), undefined);
    harness.context.writer.stop();
  });

  it('reports changes as written under steady load, when jobs are always pending', async () => {
    const harness = new TermHarness();
    await harness.writeFence();
    const { ledger } = harness.context;
    harness.store.transactionMs = 20;
    const first = ledger.add(harness.addJob(ID, [{}]));
    let number = 0;
    const load = setInterval(() => {
      for (let count = 0; count < 60; count += 1) {
        number += 1;
        ledger.add(harness.addJob(`0000000000${number + 100_000}`, [{}]));
      }
    }, 10);
    await waitUntil(() => harness.store.peek(ROW) !== undefined);
    await sleep(200);
    clearInterval(load);
    harness.context.writer.stop();
    assert.ok(harness.writtenChanges.some((written) => written >= first));
    assert.ok(harness.writtenChanges.every((written) => written < number));
  });
});
