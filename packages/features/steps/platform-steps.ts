import {
  drawId,
  StandinDeployment,
  StoreTrouble,
  TargetTrouble,
  type CallOutcome,
  type NodeProcess,
} from '@currantgap/standins';
import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { listCommand } from './world.ts';

/** What one scenario knows of its deployment. */
interface Scene {
  deployment: StandinDeployment;
  ids: string[];
  refused: string[];
  cancelled: string | undefined;
  stopped: NodeProcess | undefined;
}

const WORK = { cpu: 1_000, ms: 250 };
const LONG_WORK = { cpu: 1_000, ms: 20_000 };
const RETRY_MS = 100;
const TROUBLE_MS = 1_200;
const STOP_MS = 3_000;

let scene: Scene | undefined;

function getScene(): Scene {
  if (scene === undefined) throw new Error('the scenario has no deployment');
  return scene;
}

/** Sends until the submission is accepted, as callers do. */
async function submit(node: NodeProcess, id: string): Promise<CallOutcome> {
  for (;;) {
    const outcome = await getScene().deployment.submit(node, id, [3, 2], WORK);
    if (outcome.status === 200) return outcome;
    await sleep(RETRY_MS);
  }
}

function getOwner(): NodeProcess {
  const owner = getScene().deployment.findOwner();
  assert.ok(owner, 'a node owns the fleet');
  return owner;
}

After(async () => {
  await scene?.deployment.close();
  scene = undefined;
});

Given('a deployment with {int} nodes and {int} targets', async (nodes: number, targets: number) => {
  const deployment = new StandinDeployment({ nodes, targets, command: listCommand() });
  scene = { deployment, ids: [], refused: [], cancelled: undefined, stopped: undefined };
  await deployment.start();
});

When('{int} submissions are sent to every node', async (count: number) => {
  const { deployment, ids } = getScene();
  const calls = deployment.nodes.flatMap((node) =>
    Array.from({ length: count }, async () => {
      const id = drawId();
      ids.push(id);
      await submit(node, id);
    }),
  );
  await Promise.all(calls);
});

When('the owner is killed', async () => {
  await getOwner().kill();
});

When('the owner is told to stop', () => {
  const owner = getOwner();
  getScene().stopped = owner;
  owner.send('SIGTERM');
});

When('the owner is paused for {int} ms', async (ms: number) => {
  const owner = getOwner();
  owner.send('SIGSTOP');
  await sleep(ms);
  owner.send('SIGCONT');
});

When('the store is down', () => {
  getScene().deployment.storeServer.store.trouble = StoreTrouble.Down;
});

When('the store is back', () => {
  getScene().deployment.storeServer.store.trouble = StoreTrouble.None;
});

When('the store loses its answers for {int} ms', (ms: number) => {
  const { store } = getScene().deployment.storeServer;
  store.trouble = StoreTrouble.AnswerLost;
  setTimeout(() => {
    store.trouble = StoreTrouble.None;
  }, ms);
});

When('the targets get into trouble', () => {
  const { targets } = getScene().deployment;
  const troubles = [TargetTrouble.AnswerLost, TargetTrouble.Late, TargetTrouble.Silent];
  for (const [index, trouble] of troubles.entries()) {
    const target = targets[index];
    if (target !== undefined) target.trouble = trouble;
  }
  setTimeout(() => {
    for (const target of targets) target.trouble = TargetTrouble.None;
  }, TROUBLE_MS);
});

When('a long submission is sent and cancelled', async () => {
  const { deployment } = getScene();
  const [node] = deployment.nodes;
  assert.ok(node);
  const id = drawId();
  getScene().cancelled = id;
  assert.equal((await deployment.submit(node, id, [2], LONG_WORK)).status, 200);
  await deployment.waitForState(id, ['running']);
  assert.equal((await deployment.cancel(node, id)).status, 200);
});

When('all nodes are killed and started again', async () => {
  const { nodes } = getScene().deployment;
  await Promise.all(nodes.map((node) => node.kill()));
  for (const node of nodes) node.start();
});

Then('all of them are completed', async () => {
  const { deployment, ids } = getScene();
  for (const id of ids) {
    assert.equal(await deployment.waitForState(id, ['completed', 'failed']), 'completed');
    const done = deployment.book.listOf(id).filter(({ how }) => how === 'done');
    assert.equal(new Set(done.map(({ task }) => task)).size, 5, 'every task has ended done');
  }
});

Then('no task ran twice', () => {
  assert.deepEqual(getScene().deployment.book.findDoubles(), []);
});

Then('the stopped node has ended by itself', async () => {
  const { stopped } = getScene();
  assert.ok(stopped);
  await stopped.waitForEnd();
  assert.equal(stopped.isRunning, false);
});

Then('a submission is refused at once and told when to come back', async () => {
  const { deployment, refused } = getScene();
  const [node] = deployment.nodes;
  assert.ok(node);
  const id = drawId();
  refused.push(id);
  const outcome = await deployment.submit(node, id, [1], WORK);
  assert.equal(outcome.status, 503);
  assert.ok(Number(outcome.retryAfter) > 0);
});

Then('nothing of the refused submission ran', () => {
  const { deployment, refused } = getScene();
  for (const id of refused) assert.deepEqual(deployment.book.listOf(id), []);
});

Then('it is shown as cancelled and nothing of it runs on', async () => {
  const { deployment, cancelled } = getScene();
  assert.ok(cancelled);
  await deployment.waitForState(cancelled, ['cancelled']);
  await sleep(STOP_MS);
  const runs = deployment.book.listOf(cancelled);
  assert.ok(runs.length > 0);
  assert.ok(runs.every(({ endedAt }) => endedAt !== undefined));
});
