import { setTimeout as sleep } from 'node:timers/promises';
import { createId } from '../standins-2/deployment.js';
import { playCase } from '../standins-2/play.js';

/** Milliseconds of a task. */
const TASK_MS = 1_500;
/** Milliseconds for which the store loses writes of submissions, and after which it performs them. */
const LOST_MS = 1_000;
const LATE_MS = 6_000;
/** Milliseconds that the client waits for an answer before it gives the submission up. */
const PATIENCE_MS = 900;
/** Bounds of the settings, in milliseconds. */
const CONTACT_MS = 3_000;
const CANCEL_MS = 3_000;

await playCase(import.meta.url, async (deployment, hasTrouble) => {
  const { store, record, runs } = deployment;
  await deployment.openPlatform();
  await deployment.openExecutor();
  await deployment.openExecutor();
  await deployment.startNodes(['riga-a', 'riga-b']);
  await sleep(4_000);
  const [first, second] = deployment.nodes;
  const lostFrom = performance.now();
  if (hasTrouble) {
    store.delayUnanswered = ({ puts = [] }) => {
      const isSubmission = puts.some(({ table }) => table === 'intake');
      if (!isSubmission || performance.now() > lostFrom + LOST_MS) return undefined;
      record.write(`a write of a submission is not answered and performed in ${LATE_MS} ms`);
      return LATE_MS;
    };
  }
  const id = createId();
  await deployment.submit(first, id, { ms: TASK_MS, timeoutMs: PATIENCE_MS });
  await sleep(lostFrom + LOST_MS + 300 - performance.now());
  const lostUntil = lostFrom + LOST_MS;
  const cancel = await deployment.call(second, 'DELETE', id);
  const cancelledAt = performance.now();
  if (![200, 410].includes(cancel.status)) throw new Error('the cancelling was not acknowledged');
  await sleep(LATE_MS + 4_000);
  const late = runs.find(
    ({ startedAt }) => startedAt > cancelledAt + CANCEL_MS && startedAt > lostUntil + CONTACT_MS,
  );
  await deployment.call(second, 'GET', id);
  if (late === undefined) return undefined;
  const lateMs = Math.round(late.startedAt - cancelledAt);
  return `UNASKED: ${late.task} began ${lateMs} ms after its cancelling was acknowledged with ${cancel.status}`;
});
