import { setTimeout as sleep } from 'node:timers/promises';
import { createId, TASK_CORES } from './deployment.js';

/** Milliseconds of `finish_s`, after which all submissions are asked for. */
const FINISH_MS = 14_000;
/** Milliseconds for which a submission has nothing running although there is room. */
const IDLE_MS = 3_000;
const POLL_MS = 100;

/**
 * Submits work, waits as long as the users' rules do and finds a submission that was accepted and has had
 * nothing running for so long that the rule LOST is broken, while there is room for it.
 *
 * @param {import('./deployment.js').Deployment} deployment
 * @param {{ count: number, ms: number }} work Submissions of one task each, and its milliseconds.
 * @returns {Promise<string | undefined>}
 */
export async function findStuck(deployment, { count, ms }) {
  const accepted = [];
  for (let index = 0; index < count; index += 1) {
    const id = createId();
    const node = deployment.nodes[index % deployment.nodes.length];
    const { status } = await deployment.submit(node, id, { ms });
    if (status === 200) accepted.push(id);
  }
  if (accepted.length === 0) throw new Error('no submission was accepted');
  return findIdle(deployment, accepted);
}

/**
 * Finds one of the accepted submissions that has work left and nothing running. Its state is asked for, but
 * the runs decide: each submission has a single task.
 */
export async function findIdle(deployment, accepted, { queue } = {}) {
  await sleep(FINISH_MS);
  const [node] = deployment.nodes;
  for (const id of accepted) {
    const { status, state } = await deployment.call(node, 'GET', id, { queue });
    if (deployment.runs.some((run) => isRunOf(run, id) && run.how === 'done')) continue;
    const endsAt = performance.now() + IDLE_MS;
    const isIdle = () =>
      deployment.hasRoom(TASK_CORES * 1_000) &&
      !deployment.runs.some((run) => isRunOf(run, id) && isOpen(run));
    while (performance.now() < endsAt && isIdle()) await sleep(POLL_MS);
    if (!isIdle()) continue;
    const begun = deployment.runs.filter((run) => isRunOf(run, id)).length;
    return `LOST: submission ${id} is ${state || status} ${FINISH_MS + IDLE_MS} ms after the last one; it has begun ${begun} runs and has none`;
  }
  return undefined;
}

function isRunOf({ task }, id) {
  return task.startsWith(`${id}.`);
}

function isOpen({ endedAt }) {
  return endedAt === undefined;
}
