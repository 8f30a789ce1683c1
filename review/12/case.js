import { setTimeout as sleep } from 'node:timers/promises';
import { buildSubmission, createId, Deployment, runCase } from '../standins-3/deployment.js';
import { isLost, waitUntilDone } from '../standins-3/judge.js';

const ROUTE = { name: 'facade-mosaic' };
/** A lasting task for each minute of ten weeks. */
const SCHEDULE = { iterations: 100_000, interval_ms: 60_000 };
/** Milliseconds after which the submission with the schedule is sent. */
const RUN_MS = 1_000;

await runCase(async (hasTrouble) => {
  const deployment = new Deployment(new URL('record.txt', import.meta.url));
  const { record } = deployment;
  try {
    await deployment.start({ nodes: 3, executors: 4, configuration: { routes: [ROUTE] } });
    const { nodes } = deployment;
    const early = createId();
    await deployment.call(nodes[0], 'POST', ROUTE.name, early, buildSubmission({ ms: 500 }));
    if (!(await waitUntilDone(deployment, ROUTE.name, early))) throw new Error('nothing is served');
    // Two steps, of which the second one has its turn after 3 s.
    const id = createId();
    const body = buildSubmission({ ms: 3_000 });
    body.steps.push({ ...body.steps[0], after: [0] });
    const { status } = await deployment.call(nodes[1], 'POST', ROUTE.name, id, body);
    if (status !== 200) throw new Error('the submission was not accepted');
    await sleep(RUN_MS);
    if (hasTrouble) {
      const step = { ms: 0, count: 1, cpu: 100, persistent: true };
      const lasting = { ...buildSubmission(step), ...SCHEDULE };
      await deployment.call(nodes[2], 'POST', ROUTE.name, createId(), lasting);
    }
    const hasLost = await isLost(deployment, ROUTE.name, id);
    for (const { name, ownEnds } of nodes)
      record.write('own ends', { node: name, count: ownEnds.length, how: ownEnds.join(',') });
    return hasLost;
  } finally {
    await deployment.close();
  }
});
