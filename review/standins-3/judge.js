import { setTimeout as sleep } from 'node:timers/promises';

const POLL_MS = 200;
const DONE_TIMEOUT_MS = 15_000;
/** Milliseconds after the last submission from which each task that can run is expected to run: `finish_s`. */
const FINISH_MS = 14_000;
/** Milliseconds for which a submission may have nothing running then. */
const IDLE_MS = 3_000;
const ENDED = ['completed', 'failed', 'cancelled'];

/** Waits until a submission is shown as completed; resolves with whether it is within 15 s. */
export async function waitUntilDone(deployment, route, id) {
  const deadline = performance.now() + DONE_TIMEOUT_MS;
  while (performance.now() < deadline) {
    const { state } = await deployment.call(deployment.nodes[0], 'GET', route, id);
    if (state === 'completed') return true;
    await sleep(POLL_MS);
  }
  return false;
}

/**
 * Judges the rule LOST for an accepted submission that nobody has cancelled, whose tasks' turn has come and
 * that is the only one with work left: `finish_s` after the end of the traffic it may not have nothing
 * running for 3 s. Resolves with whether the rule is broken.
 */
export async function isLost(deployment, route, id) {
  const { executors, nodes, record } = deployment;
  await sleep(FINISH_MS);
  const deadline = performance.now() + IDLE_MS;
  while (performance.now() < deadline) {
    if (executors.some((executor) => executor.isRunning(id))) {
      record.write('judged', { id, running: true });
      return false;
    }
    await sleep(POLL_MS);
  }
  const answers = await Promise.all(nodes.map((node) => deployment.call(node, 'GET', route, id)));
  const state =
    answers.map((answer) => answer.state).find((known) => ENDED.includes(known)) ?? 'open';
  record.write('judged', { id, running: false, idleMs: IDLE_MS, state });
  return state === 'open';
}
