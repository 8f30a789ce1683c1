import { setTimeout as sleep } from 'node:timers/promises';
import { createId } from '../standins-2/deployment.js';
import { playCase } from '../standins-2/play.js';

/** Milliseconds of a task: the longest work of the sheet is 5,200. */
const TASK_MS = 5_000;
/** Milliseconds of `drain_ms`, the little longer that an executor serves, and until it is back. */
const DRAIN_MS = 2_000;
const LONGER_MS = 200;
const DOWN_MS = 500;
/** Milliseconds between the return of an executor and the shutdown of the next one. */
const GAP_MS = 300;
const EXECUTORS = 3;
const ROUNDS = 4;
/** Milliseconds between two submissions. */
const PERIOD_MS = 250;

await playCase(import.meta.url, async (deployment, hasTrouble) => {
  await deployment.openPlatform();
  const executors = [];
  for (let index = 0; index < EXECUTORS; index += 1)
    executors.push(await deployment.openExecutor({ id: `worker-${index}` }));
  await deployment.startNodes(['riga-a', 'riga-b']);
  await sleep(4_000);
  const accepted = [];
  const traffic = submitUntilStopped(deployment, accepted);
  await sleep(3_000);
  for (let turn = 0; turn < ROUNDS * EXECUTORS; turn += 1) {
    if (hasTrouble)
      executors[turn % EXECUTORS] = await restart(deployment, executors[turn % EXECUTORS]);
    else await sleep(DRAIN_MS + LONGER_MS + DOWN_MS);
    await sleep(GAP_MS);
  }
  traffic.stop();
  await sleep(14_000);
  return findFailed(deployment, accepted);
});

/** Shuts an executor down as planned and starts it again under its id. */
async function restart(deployment, executor) {
  executor.drain(DRAIN_MS);
  await sleep(DRAIN_MS + LONGER_MS);
  executor.end('planned shutdown');
  executor.unregister();
  await sleep(DOWN_MS);
  const port = Number(executor.address.split(':')[1]);
  return deployment.openExecutor({ id: executor.id, port });
}

function submitUntilStopped(deployment, accepted) {
  let isStopped = false;
  const run = async () => {
    for (let index = 0; !isStopped; index += 1) {
      const id = createId();
      const node = deployment.nodes[index % deployment.nodes.length];
      const { status } = await deployment.submit(node, id, { ms: TASK_MS });
      if (status === 200) accepted.push(id);
      await sleep(PERIOD_MS);
    }
  };
  void run();
  return { stop: () => (isStopped = true) };
}

/** Finds a submission that is shown as failed although none of its runs has ended `failed`. */
async function findFailed(deployment, accepted) {
  const [node] = deployment.nodes;
  for (const id of accepted) {
    const { state } = await deployment.call(node, 'GET', id);
    const runs = deployment.runs.filter(({ task }) => task.startsWith(`${id}.`));
    if (state !== 'failed' || runs.some(({ how }) => how === 'failed')) continue;
    const ends = runs.map(({ executor, how }) => `${how} at ${executor}`).join(', ');
    return `LOST: submission ${id} is shown as failed; its runs: ${ends}`;
  }
  return undefined;
}
