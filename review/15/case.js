import { setTimeout as sleep } from 'node:timers/promises';
import { buildSubmission, createId, Deployment, runCase } from '../standins-3/deployment.js';
import { isLost } from '../standins-3/judge.js';

const ROUTE = { name: 'vault-scan' };
/** Milliseconds that the first step takes; the sheet's longest tasks take 5.2 s. */
const FIRST_STEP_MS = 5_000;
const SETTLED_MS = 1_000;

await runCase(async (hasTrouble) => {
  const deployment = new Deployment(new URL('record.txt', import.meta.url));
  const { executors, nodes } = deployment;
  try {
    await deployment.start({ nodes: 3, executors: 8, configuration: { routes: [ROUTE] } });
    await sleep(SETTLED_MS);
    const id = createId();
    let hasCrashed = !hasTrouble;
    for (const executor of executors) {
      executor.intercept = (path, { task }) => {
        if (path !== '/api/run-start' || hasCrashed || !task.startsWith(`${id}.0.1.`))
          return undefined;
        hasCrashed = true;
        return () => executor.crash(Infinity);
      };
    }
    const body = buildSubmission({ ms: FIRST_STEP_MS, count: 1 });
    body.steps.push({ ...body.steps[0], after: [0] });
    const { status } = await deployment.call(nodes[0], 'POST', ROUTE.name, id, body);
    if (status !== 200) throw new Error('the submission was not accepted');
    return await isLost(deployment, ROUTE.name, id);
  } finally {
    await deployment.close();
  }
});
