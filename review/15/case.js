import { setTimeout as sleep } from 'node:timers/promises';
import { buildSubmission, createId, Deployment, runCase } from '../standins-3/deployment.js';

const ROUTE = { name: 'vault-scan' };
/** Milliseconds for which a node stands still. */
const FREEZE_MS = 3_300;
/** Milliseconds after which a client leaves and cancels, as its `X-Deadline-Ms` says. */
const DEADLINE_MS = 3_000;
/** `cancel_ms`. */
const CANCEL_MS = 3_000;
const WATCH_MS = 14_000;
const SETTLED_MS = 1_000;

await runCase(async (hasTrouble) => {
  const deployment = new Deployment(new URL('record.txt', import.meta.url));
  const { executors, nodes, record } = deployment;
  try {
    await deployment.start({ nodes: 3, executors: 4, configuration: { routes: [ROUTE] } });
    await sleep(SETTLED_MS);
    const owner = deployment.findOwner();
    const [node, other] = nodes.filter((each) => each !== owner);
    if (hasTrouble) {
      node.signal('SIGSTOP');
      record.write('node frozen', { node: node.name });
      setTimeout(() => {
        node.signal('SIGCONT');
        record.write('node wakes', { node: node.name });
      }, FREEZE_MS);
    }
    const id = createId();
    const body = buildSubmission({ ms: 3_000 });
    body.steps.push({ ...body.steps[0], after: [0] });
    await deployment.call(node, 'POST', ROUTE.name, id, body, DEADLINE_MS);
    const { status } = await deployment.call(other, 'DELETE', ROUTE.name, id);
    const acknowledgedAt = record.now;
    if (status !== 200 && status !== 410) throw new Error('the cancel was not acknowledged');
    await sleep(WATCH_MS);
    const starts = executors.flatMap((executor) => executor.listStarts(id));
    const late = starts.filter((at) => at > acknowledgedAt + CANCEL_MS);
    record.write('judged', { id, acknowledgedAt, starts: starts.length, late: late.length });
    return late.length > 0;
  } finally {
    for (const node of nodes) node.signal('SIGCONT');
    await deployment.close();
  }
});
