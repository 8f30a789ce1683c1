import {
  createSubmissionId,
  StandinDeployment,
  StandinTargetFailure,
  StoreFailure,
  type NodeProcess,
  type SubmissionResponse,
} from '@currantgap/standins';
import { After, Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { getCommand } from './world.ts';

/** State that the steps of one scenario share. */
interface ScenarioState {
  deployment: StandinDeployment;
  submissionIds: string[];
  refusedIds: string[];
  cancelledId: string | undefined;
  stoppedNode: NodeProcess | undefined;
}

const TASK_SPEC = { cpu: 1_000, ms: 250 };
const LONG_TASK_SPEC = { cpu: 1_000, ms: 20_000 };
const RETRY_DELAY_MS = 100;
const FAILURE_MS = 1_200;
const STOP_GRACE_MS = 3_000;

let state: ScenarioState | undefined;

function getState(): ScenarioState {
  if (state === undefined) throw new Error('the scenario has no deployment');
  return state;
}

/** Retries a submission until it is accepted. */
async function submit(node: NodeProcess, id: string): Promise<SubmissionResponse> {
  for (;;) {
    const response = await getState().deployment.submit(node, id, [3, 2], TASK_SPEC);
    if (response.status === 200) return response;
    await sleep(RETRY_DELAY_MS);
  }
}

function getOwner(): NodeProcess {
  const owner = getState().deployment.findOwner();
  assert.ok(owner, 'a node owns the fleet');
  return owner;
}

After(async () => {
  await state?.deployment.close();
  state = undefined;
});

Given('a deployment with {int} nodes and {int} targets', async (nodes: number, targets: number) => {
  const deployment = new StandinDeployment({ nodes, targets, command: getCommand() });
  state = {
    deployment,
    submissionIds: [],
    refusedIds: [],
    cancelledId: undefined,
    stoppedNode: undefined,
  };
  await deployment.start();
});

When('{int} submissions are sent to every node', async (count: number) => {
  const { deployment, submissionIds } = getState();
  const calls = deployment.nodes.flatMap((node) =>
    Array.from({ length: count }, async () => {
      const id = createSubmissionId();
      submissionIds.push(id);
      await submit(node, id);
    }),
  );
  await Promise.all(calls);
});

When('the owner is killed', async () => {
  await getOwner().kill();
});

When('the owner is stopped gracefully', () => {
  const owner = getOwner();
  getState().stoppedNode = owner;
  owner.sendSignal('SIGTERM');
});

When('the owner is paused for {int} ms', async (ms: number) => {
  const owner = getOwner();
  owner.sendSignal('SIGSTOP');
  await sleep(ms);
  owner.sendSignal('SIGCONT');
});

When('the store is down', () => {
  getState().deployment.storeServer.store.failure = StoreFailure.Down;
});

When('the store recovers', () => {
  getState().deployment.storeServer.store.failure = StoreFailure.None;
});

When('the responses of the store are lost for {int} ms', (ms: number) => {
  const { store } = getState().deployment.storeServer;
  store.failure = StoreFailure.ResponseLost;
  setTimeout(() => {
    store.failure = StoreFailure.None;
  }, ms);
});

When('three targets lose responses, delay starts and stop responding', () => {
  const { targets } = getState().deployment;
  const failures = [
    StandinTargetFailure.ResponseLost,
    StandinTargetFailure.Late,
    StandinTargetFailure.Silent,
  ];
  for (const [index, failure] of failures.entries()) {
    const target = targets[index];
    if (target !== undefined) target.failure = failure;
  }
  setTimeout(() => {
    for (const target of targets) target.failure = StandinTargetFailure.None;
  }, FAILURE_MS);
});

When('a submission with long tasks is sent and cancelled', async () => {
  const { deployment } = getState();
  const [node] = deployment.nodes;
  assert.ok(node);
  const id = createSubmissionId();
  getState().cancelledId = id;
  assert.equal((await deployment.submit(node, id, [2], LONG_TASK_SPEC)).status, 200);
  await deployment.waitForState(id, ['running']);
  assert.equal((await deployment.cancel(node, id)).status, 200);
});

When('all nodes are killed and restarted', async () => {
  const { nodes } = getState().deployment;
  await Promise.all(nodes.map((node) => node.kill()));
  for (const node of nodes) node.start();
});

Then('all submissions complete', async () => {
  const { deployment, submissionIds } = getState();
  for (const id of submissionIds) {
    assert.equal(await deployment.waitForState(id, ['completed', 'failed']), 'completed');
    const done = deployment.runHistory.listRuns(id).filter(({ endKind }) => endKind === 'done');
    assert.equal(new Set(done.map(({ task }) => task)).size, 5, 'every task has ended done');
  }
});

Then('no task ran twice', () => {
  assert.deepEqual(getState().deployment.runHistory.findDuplicateTasks(), []);
});

Then('the process of the stopped node exits by itself', async () => {
  const { stoppedNode } = getState();
  assert.ok(stoppedNode);
  await stoppedNode.waitForExit();
  assert.equal(stoppedNode.isRunning, false);
});

Then('a submission is refused at once with a retry-after header', async () => {
  const { deployment, refusedIds } = getState();
  const [node] = deployment.nodes;
  assert.ok(node);
  const id = createSubmissionId();
  refusedIds.push(id);
  const response = await deployment.submit(node, id, [1], TASK_SPEC);
  assert.equal(response.status, 503);
  assert.ok(Number(response.retryAfter) > 0);
});

Then('no task of the refused submission ran', () => {
  const { deployment, refusedIds } = getState();
  for (const id of refusedIds) assert.deepEqual(deployment.runHistory.listRuns(id), []);
});

Then('its state is cancelled and none of its tasks still runs', async () => {
  const { deployment, cancelledId } = getState();
  assert.ok(cancelledId);
  await deployment.waitForState(cancelledId, ['cancelled']);
  await sleep(STOP_GRACE_MS);
  const runs = deployment.runHistory.listRuns(cancelledId);
  assert.ok(runs.length > 0);
  assert.ok(runs.every(({ endedAt }) => endedAt !== undefined));
});
