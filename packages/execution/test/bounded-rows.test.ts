import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import type { Job, TaskRun } from '@currantgap/jobs';
import { EndKind, JobState } from '@currantgap/model';
import { OWNER_PART } from '@currantgap/ownership';
import { waitUntil } from '@currantgap/standins';
import type { Row } from '@currantgap/store';
import { LEDGER_TABLE } from '../src/ledger.ts';
import { getPartKey, joinParts, splitValue } from '../src/row-parts.ts';
import { TakeOverHarness } from './take-over-harness.ts';
import { TermHarness } from './term-harness.ts';

const LARGE = '0000000000000001';
const SMALL = '0000000000000002';
const MINUTE_MS = 60_000;
/** Occurrences of a schedule each minute whose first one was due two days ago. */
const DUE = 2_880;
/** Longer than the wait of a test that holds takes on a busy machine. */
const WAIT_MS = 30_000;

// Review case 5: a schedule with 2,880 due occurrences outgrew the row of its progress. The store rejected
// each transaction, so that no end of any task was acknowledged and nothing shown as completed (Acks).
describe('the progress of a large submission', () => {
  let harness: TakeOverHarness;

  beforeEach(async () => {
    harness = new TakeOverHarness();
    await harness.register('t1', 'kartes');
    await harness.takeOver();
  });

  afterEach(() => {
    harness.close();
  });

  function findState(id: string): JobState | undefined {
    return harness.owner.findState(id);
  }

  /** Ends whatever runs until a condition holds. */
  async function endRunsUntil(isMet: () => boolean): Promise<void> {
    await waitUntil(() => {
      harness.targets.endAll(EndKind.Done);
      return isMet();
    }, WAIT_MS);
  }

  it('does not keep other submissions from being completed while its schedule is behind', async () => {
    const firstRunAt = Date.now() - DUE * MINUTE_MS;
    const schedule = { iterations: DUE, firstRunAt, intervalMs: MINUTE_MS };
    await harness.submit(LARGE, [{ count: 6 }, { count: 6, after: [0] }], schedule);
    await harness.waitForStarts(1);
    await harness.submit(SMALL, [{}]);
    await endRunsUntil(() => findState(SMALL) === JobState.Completed);
    assert.ok((harness.targets.acknowledged.get('t1') ?? 0) > 0);
  });

  it('is stored in several rows if one is too short, and read whole by a successor', async () => {
    const count = 2_400;
    const request = { cpuMillis: 1, memoryMb: 0, gpus: 0 };
    await harness.submit(LARGE, [{ count, request, isCheckpointing: true }]);
    await harness.waitForStarts(count);
    const checkpoint = 'c'.repeat(40);
    harness.targets.endAll(EndKind.Stopped, checkpoint);
    await waitUntil(() => (harness.targets.acknowledged.get('t1') ?? 0) === count, WAIT_MS);
    await harness.waitForStarts(2 * count);
    await harness.takeOver();
    harness.targets.checkpoints.clear();
    harness.targets.endAll(EndKind.Stopped);
    await waitUntil(() => harness.targets.checkpoints.size === count, WAIT_MS);
    await endRunsUntil(() => findState(LARGE) === JobState.Completed);
  });

  it('leaves no rows behind when the submission has ended', async () => {
    const request = { cpuMillis: 1, memoryMb: 0, gpus: 0 };
    await harness.submit(LARGE, [{ count: 2_400, request, isCheckpointing: true }]);
    await harness.waitForStarts(2_400);
    harness.targets.endAll(EndKind.Stopped, 'c'.repeat(40));
    await waitUntil(() => harness.listLedgerKeys().length > 1, WAIT_MS);
    await endRunsUntil(() => findState(LARGE) === JobState.Completed);
    await waitUntil(() => harness.listLedgerKeys().length <= 1, WAIT_MS);
  });
});

describe('a row that the store rejects for good', () => {
  it('keeps back no other row, and is written once it is accepted', async () => {
    const harness = new TermHarness();
    await harness.writeFence();
    const { ledger, writer } = harness.context;
    const rejected = harness.addJob(LARGE, [{ count: 40 }]);
    const other = harness.addJob(SMALL, [{}]);
    for (const [index, task] of getTasks(rejected).entries()) task.checkpoint = `${index}`;
    harness.store.maximumEntries = 8;
    harness.store.maximumValueBytes = 60;
    const first = ledger.add(rejected);
    for (const task of getTasks(other)) other.applyRunEnd(task, 1, EndKind.Done, 1);
    ledger.add(other);
    await waitUntil(() => other.storedState === JobState.Completed);
    assert.ok(harness.writtenChanges.every((change) => change < first));
    harness.store.maximumEntries = 100;
    await waitUntil(() => harness.writtenChanges.some((change) => change >= first));
    writer.stop();
  });
});

describe('a value that is spread over several rows', () => {
  it('is joined to what it was, whatever characters it has and whatever older parts are left', () => {
    const value = JSON.stringify({ name: 'ķīļrakstu 🏰 "ēka"'.repeat(9) });
    const parts = splitValue(value, 60);
    assert.ok(parts.length > 2 && parts.every((part) => Buffer.byteLength(part) <= 60));
    const rows = [...parts, 'older'].map((part, index) => createRow(getPartKey('a', index), part));
    const joined = joinParts([...rows, createRow('b', '{}'), createRow('b/part-1', 'older')]);
    assert.deepEqual(
      joined.map(({ key, parts: count }) => [key, count]),
      [
        ['a', parts.length],
        ['b', 1],
      ],
    );
    assert.deepEqual(JSON.parse(joined[0]?.value ?? ''), JSON.parse(value));
  });
});

function getTasks(job: Job): readonly TaskRun[] {
  return job.openOccurrence(0).steps[0]?.tasks ?? [];
}

function createRow(key: string, value: string): Row {
  return { table: LEDGER_TABLE, part: OWNER_PART, key, value, version: 1, isDeleted: false };
}
