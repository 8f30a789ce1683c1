import { createSubmissionId } from '@currantgap/standins';
import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { getState } from './platform-steps.ts';

/** A count that a node answered, and the submissions that had been accepted some time before. */
interface CountRecord {
  readonly waiting: number;
  readonly acceptedBefore: number;
}

/** Milliseconds after which an accepted submission has to be counted. */
const COUNTED_AFTER_MS = 5_000;
const COUNT_INTERVAL_MS = 50;
const MILLISECONDS_PER_SECOND = 1_000;
const TASK_SPEC = { cpu: 1_000, ms: 250 };

let counts: CountRecord[] = [];
let askedCounts = 0;
/** Monotonic times at which submissions were accepted, in milliseconds. */
let acceptedAt: number[] = [];

When(
  '{int} submissions a second are sent for {int} s while the store drops its history each {int} ms',
  async (rate: number, seconds: number, dropMs: number) => {
    const { deployment } = getState();
    acceptedAt = [];
    const sendNext = async (index: number): Promise<void> => {
      const node = deployment.nodes[index % deployment.nodes.length];
      assert.ok(node);
      const id = createSubmissionId();
      const { status } = await deployment.submit(node, id, [1], TASK_SPEC);
      if (status === 200) acceptedAt.push(performance.now());
    };
    const drops = setInterval(() => {
      deployment.storeServer.store.dropHistory();
    }, dropMs);
    const endsAt = performance.now() + seconds * MILLISECONDS_PER_SECOND;
    counts = [];
    askedCounts = 0;
    const counting = countUntil(endsAt);
    for (let index = 0; performance.now() < endsAt; index += 1) {
      void sendNext(index);
      await sleep(MILLISECONDS_PER_SECOND / rate);
    }
    clearInterval(drops);
    await counting;
  },
);

When('the links to the store are fast again', () => {
  for (const proxy of getState().proxies) proxy.bytesPerSecond = Infinity;
});

Then('no count was below half of the submissions that had been accepted 5 s before', () => {
  const wrong = counts.filter(({ waiting, acceptedBefore }) => 2 * waiting < acceptedBefore);
  assert.equal(
    wrong.length,
    0,
    `${wrong.length} of ${counts.length} given: ${formatCounts(wrong)}`,
  );
});

Then('more than half of the counts were given', () => {
  assert.ok(2 * counts.length > askedCounts, `${counts.length} of ${askedCounts} were given`);
});

Then('every node counts all accepted submissions within {int} s', async (seconds: number) => {
  const { deployment } = getState();
  const deadline = performance.now() + seconds * MILLISECONDS_PER_SECOND;
  for (const node of deployment.nodes) {
    while (((await deployment.countWaiting(node)).waiting ?? 0) < acceptedAt.length) {
      assert.ok(performance.now() < deadline, 'the count is complete in time');
      await sleep(COUNT_INTERVAL_MS);
    }
  }
});

/** Asks all nodes in turn; no task ever begins, so that all accepted submissions wait. */
async function countUntil(endsAt: number): Promise<void> {
  const { deployment } = getState();
  for (let index = 0; performance.now() < endsAt; index += 1) {
    const node = deployment.nodes[index % deployment.nodes.length];
    assert.ok(node);
    const countedFrom = performance.now() - COUNTED_AFTER_MS;
    const acceptedBefore = acceptedAt.filter((at) => at < countedFrom).length;
    askedCounts += 1;
    const { waiting } = await deployment.countWaiting(node);
    if (waiting !== undefined) counts.push({ waiting, acceptedBefore });
    await sleep(COUNT_INTERVAL_MS);
  }
}

function formatCounts(records: readonly CountRecord[]): string {
  return records.map(({ waiting, acceptedBefore }) => `${waiting}/${acceptedBefore}`).join(' ');
}
