import { setTimeout as sleep } from 'node:timers/promises';
import { buildSubmission, createId, Deployment, runCase } from '../standins-3/deployment.js';
import { isLost } from '../standins-3/judge.js';

const PERMANENT = { name: 'crack-check' };
const ADDED = { name: 'photo-intake' };
/** Milliseconds between two manifests, and between a manifest and the submission that it allows. */
const GAP_MS = 330;
const SETTLED_MS = 1_000;

await runCase(async (hasTrouble) => {
  const deployment = new Deployment(new URL('record.txt', import.meta.url));
  const { record } = deployment;
  try {
    await deployment.start({ nodes: 3, executors: 4, configuration: { routes: [PERMANENT] } });
    await sleep(SETTLED_MS);
    const owner = deployment.findOwner();
    const node = deployment.nodes.find((other) => other !== owner);
    if (hasTrouble) {
      owner.crash();
      record.write('node killed', { node: owner.name });
    }
    deployment.configure({ routes: [PERMANENT, ADDED] });
    await sleep(GAP_MS);
    const id = createId();
    const body = buildSubmission({ ms: 500 });
    const { status } = await deployment.call(node, 'POST', ADDED.name, id, body);
    if (status !== 200) throw new Error('the submission was not accepted');
    await sleep(GAP_MS);
    deployment.configure({ routes: [PERMANENT] });
    const hasLost = await isLost(deployment, ADDED.name, id);
    const hasBegun = deployment.executors.some((executor) => executor.hasBegun(id));
    record.write('runs', { id, begun: hasBegun });
    return hasLost && !hasBegun;
  } finally {
    await deployment.close();
  }
});
