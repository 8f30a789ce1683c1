import { setTimeout as sleep } from 'node:timers/promises';
import { buildSubmission, createId, Deployment, runCase } from '../standins-3/deployment.js';
import { waitUntilDone } from '../standins-3/judge.js';

const ROUTE = { name: 'crack-check' };
/** Milliseconds that the task takes, as the mean of the sheet. */
const TASK_MS = 800;
/** Milliseconds after the start from which its executor is down, and for which it is. */
const CRASH_AFTER_MS = 2_500;
const DOWN_MS = 4_200;
/** Milliseconds after the start at which it is carried out: 2 to 12 s by the bench's list. */
const LATE_MS = CRASH_AFTER_MS + DOWN_MS + 50;
const WATCH_MS = 8_000;
const SETTLED_MS = 1_000;

await runCase(async (hasTrouble) => {
  const deployment = new Deployment(new URL('record.txt', import.meta.url));
  const { executors, nodes, record } = deployment;
  try {
    await deployment.start({ nodes: 3, executors: 8, configuration: { routes: [ROUTE] } });
    await sleep(SETTLED_MS);
    let hasLeftUnanswered = !hasTrouble;
    for (const executor of executors) {
      executor.intercept = (path, body) => {
        if (path !== '/api/run-start' || hasLeftUnanswered) return undefined;
        hasLeftUnanswered = true;
        return () => {
          record.write('start left unanswered', { task: body.task, executor: executor.id });
          setTimeout(() => executor.crash(DOWN_MS), CRASH_AFTER_MS);
          setTimeout(() => executor.startLate(body), LATE_MS);
        };
      };
    }
    const id = createId();
    const body = buildSubmission({ ms: TASK_MS, count: 1, cpu: 1_600 });
    const { status } = await deployment.call(nodes[0], 'POST', ROUTE.name, id, body);
    if (status !== 200) throw new Error('the submission was not accepted');
    if (!(await waitUntilDone(deployment, ROUTE.name, id))) throw new Error('it was not served');
    await sleep(WATCH_MS);
    const task = `${id}.0.0.0`;
    const notedAt = Math.min(...executors.map((each) => each.getNotedAt(task) ?? Infinity));
    const begunAt = Math.max(...executors.map((each) => each.getBegunAt(task) ?? 0));
    record.write('judged', { task, notedAt, lastBegunAt: begunAt });
    return begunAt > notedAt;
  } finally {
    await deployment.close();
  }
});
