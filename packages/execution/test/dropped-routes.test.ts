import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { EndKind, JobState } from '@currantgap/model';
import { waitUntil } from '@currantgap/standins';
import { Intake } from '../src/intake.ts';
import { JobArchiver } from '../src/job-archiver.ts';
import { JobLookup } from '../src/job-lookup.ts';
import { ReportProcessor } from '../src/report-processor.ts';
import { RunOrders } from '../src/run-orders.ts';
import { TakeOverHarness } from './take-over-harness.ts';
import { createEnded, createReport, TermHarness } from './term-harness.ts';

const ID = '0000000000000001';
const FIRST_TASK = `${ID}.0.0.0`;
/** Longer than an owner takes to store a change of the configuration. */
const SETTLED_MS = 100;

// Review case 3: only one owner remembered the last definition of a dropped queue. Its successor started
// none of the queue's tasks, and gave a submission up after the first failed run (LOST).
describe('a submission whose queue was dropped', () => {
  let harness: TakeOverHarness;

  beforeEach(async () => {
    harness = new TakeOverHarness();
    await harness.register('t1', 'kartes');
    harness.configure({ maxAttempts: 3 });
    await harness.takeOver();
  });

  afterEach(() => {
    harness.close();
  });

  async function drop(): Promise<void> {
    harness.configure();
    await sleep(SETTLED_MS);
  }

  it('goes on with its next step after a change of owner', async () => {
    await harness.submit(ID, [{}, { after: [0] }]);
    await harness.waitForStarts(1);
    await drop();
    await harness.takeOver();
    harness.targets.endAll(EndKind.Done);
    const started = await harness.waitForStarts(2);
    assert.deepEqual(started, { [FIRST_TASK]: 't1', [`${ID}.0.1.0`]: 't1' });
    harness.targets.endAll(EndKind.Done);
    await waitUntil(() => harness.owner.findState(ID) === JobState.Completed);
  });

  it('has all its attempts after two changes of owner', async () => {
    await harness.submit(ID, [{}]);
    await harness.waitForStarts(1);
    await drop();
    await harness.takeOver();
    harness.targets.endAll(EndKind.Failed);
    await harness.waitForStarts(2);
    await harness.takeOver();
    harness.targets.endAll(EndKind.Failed);
    await harness.waitForStarts(3);
    harness.targets.endAll(EndKind.Failed);
    await waitUntil(() => harness.owner.findState(ID) === JobState.Failed);
    assert.equal(harness.targets.starts.length, 3);
  });

  it('starts, even if no owner has seen it before', async () => {
    await drop();
    harness.owner.close();
    await harness.submit(ID, [{}]);
    await harness.takeOver();
    assert.deepEqual(await harness.waitForStarts(1), { [FIRST_TASK]: 't1' });
  });

  it('keeps the definition that its queue had last', async () => {
    harness.configure({ maxAttempts: 1 });
    await sleep(SETTLED_MS);
    await harness.submit(ID, [{}]);
    await harness.waitForStarts(1);
    await drop();
    await harness.takeOver();
    harness.targets.endAll(EndKind.Failed);
    await waitUntil(() => harness.owner.findState(ID) === JobState.Failed);
  });
});

// The limit of attempts that is not known must not be taken for one.
describe('a submission whose queue no owner has known', () => {
  it('does not fail before the limit of attempts is known, and then at once if it is reached', () => {
    const harness = new TermHarness();
    const { context, store } = harness;
    const orders = new RunOrders(context);
    const reportProcessor = new ReportProcessor(context, orders, new JobLookup(context, store));
    const archiver = new JobArchiver(context, store);
    const intake = new Intake({ context, orders, reportProcessor, archiver });
    const job = harness.addJob(ID, [{}], true);
    const record = context.active.get(ID);
    assert.ok(record);
    record.route = undefined;
    const ended = [1, 2].map((run) => createEnded(run, FIRST_TASK, run, EndKind.Failed));
    reportProcessor.apply(harness.addTarget('t1'), createReport({ ended }), harness.now);
    assert.equal(job.isEnded, false);
    intake.refreshRoutes();
    assert.equal(job.state, JobState.Failed);
    context.writer.stop();
  });
});
