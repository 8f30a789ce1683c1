import { getIntakePart, INTAKE_TABLE } from '@currantgap/execution';
import { encodeStoredJob, STEP_DEFAULTS } from '@currantgap/jobs';
import {
  createSubmissionId,
  StandinDeployment,
  StandinTargetFailure,
  StoreFailure,
  StoreProxy,
  type NodeProcess,
  type SubmissionResponse,
} from '@currantgap/standins';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { TARGET_TABLE } from '@currantgap/platform-adapter';
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
  /** Take-overs before the failure under test. */
  takeOvers: number;
  readonly proxies: StoreProxy[];
}

const TASK_SPEC = { cpu: 1_000, ms: 250 };
const LONG_TASK_SPEC = { cpu: 1_000, ms: 20_000 };
const RETRY_DELAY_MS = 100;
const FAILURE_MS = 1_200;
const STOP_GRACE_MS = 3_000;
const BYTES_PER_KILOBYTE = 1_000;

let state: ScenarioState | undefined;

/** Gets the state of the running scenario. */
export function getState(): ScenarioState {
  if (state === undefined) throw new Error('the scenario has no deployment');
  return state;
}

/** Retries a submission until it is accepted. */
async function submit(
  node: NodeProcess,
  id: string,
  taskSpec = TASK_SPEC,
): Promise<SubmissionResponse> {
  for (;;) {
    const response = await getState().deployment.submit(node, id, [3, 2], taskSpec);
    if (response.status === 200) return response;
    await sleep(RETRY_DELAY_MS);
  }
}

function getOwner(): NodeProcess {
  const owner = getState().deployment.findOwner();
  assert.ok(owner, 'a node owns the fleet');
  return owner;
}

async function startDeployment(
  nodes: number,
  targets: number,
  bytesPerSecond = Infinity,
): Promise<void> {
  const proxies: StoreProxy[] = [];
  const openStoreProxy = async (_: string, storeAddress: string): Promise<string> => {
    const proxy = new StoreProxy(storeAddress);
    proxy.bytesPerSecond = bytesPerSecond;
    proxies.push(proxy);
    return proxy.open();
  };
  const deployment = new StandinDeployment({
    nodes,
    targets,
    command: getCommand(),
    ...(bytesPerSecond === Infinity ? {} : { openStoreProxy }),
  });
  state = {
    deployment,
    submissionIds: [],
    refusedIds: [],
    cancelledId: undefined,
    stoppedNode: undefined,
    takeOvers: 0,
    proxies,
  };
  await deployment.start();
}

After(async () => {
  await state?.deployment.close();
  for (const proxy of state?.proxies ?? []) proxy.close();
  state = undefined;
});

Given('a deployment with {int} nodes and {int} targets', async (nodes: number, targets: number) => {
  await startDeployment(nodes, targets);
});

Given(
  'a deployment with {int} nodes and {int} targets whose links to the store carry {int} kB a second',
  async (nodes: number, targets: number, kilobytes: number) => {
    await startDeployment(nodes, targets, kilobytes * BYTES_PER_KILOBYTE);
  },
);

When(
  '{int} submissions of {int} bytes are in the store as the owner is killed',
  async (count: number, bytes: number) => {
    const { deployment, submissionIds } = getState();
    getState().takeOvers = deployment.countTakeOvers();
    await getOwner().kill();
    const { store } = deployment.storeServer;
    const spec = JSON.stringify({ ...TASK_SPEC, padding: 'x'.repeat(bytes) });
    const request = { cpuMillis: TASK_SPEC.cpu, memoryMb: 1, gpus: 0 };
    const step = { ...STEP_DEFAULTS, request, estimatedMs: TASK_SPEC.ms };
    const steps = [
      { ...step, count: 3 },
      { ...step, count: 2, after: [0] },
    ];
    const submission = { spec, steps, iterations: 0, firstRunAt: 0, intervalMs: 0 };
    for (let index = 0; index < count; index += 1) {
      const id = createSubmissionId();
      submissionIds.push(id);
      const job = { id, route: 'checks', team: 'kurzeme', acceptedAt: Date.now(), submission };
      const key = { table: INTAKE_TABLE, part: getIntakePart(id), key: id };
      const puts = [{ ...key, value: encodeStoredJob(job) }];
      await store.commit({ conditions: [], puts, removals: [] });
    }
  },
);

Then('one other node has taken over, once', () => {
  const { deployment, takeOvers } = getState();
  assert.equal(deployment.countTakeOvers(), takeOvers + 1);
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

When('the store takes {int} ms for a transaction', (ms: number) => {
  getState().deployment.storeServer.store.transactionMs = ms;
});

When('{int} submissions with tasks of {int} ms are sent', async (count: number, ms: number) => {
  const { deployment, submissionIds } = getState();
  const taskSpec = { ...TASK_SPEC, ms };
  const [node] = deployment.nodes;
  assert.ok(node);
  const calls = Array.from({ length: count }, async () => {
    const id = createSubmissionId();
    submissionIds.push(id);
    await submit(node, id, taskSpec);
  });
  await Promise.all(calls);
  await Promise.all(submissionIds.map((id) => deployment.waitForState(id, ['running'])));
});

When('the owner is killed', async () => {
  await getOwner().kill();
});

When('the owner is stopped gracefully', () => {
  const owner = getOwner();
  getState().stoppedNode = owner;
  owner.sendSignal('SIGTERM');
});

When('a node is told to stop and told again {int} ms later', async (ms: number) => {
  const [node] = getState().deployment.nodes;
  assert.ok(node);
  getState().stoppedNode = node;
  node.sendSignal('SIGTERM');
  await sleep(ms);
  node.sendSignal('SIGTERM');
  await sleep(ms);
});

Then('it still answers', async () => {
  const { deployment, stoppedNode } = getState();
  assert.ok(stoppedNode);
  const { status } = await deployment.getSubmission(stoppedNode, createSubmissionId());
  assert.equal(status, 410);
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

When('another writer leaves odd entries among those of the targets', async () => {
  const { store } = getState().deployment.storeServer;
  const entry = {
    service: 'kartes',
    address: '127.0.0.1:99999',
    zone: 'riga-a',
    state: 'ready',
    capacity: { cpu: 64_000, mem_mb: 65_536 },
  };
  const row = { table: TARGET_TABLE, part: '' };
  const sound = { ...entry, address: '127.0.0.1:1' };
  const puts = [
    { ...row, key: 'odd-port', value: JSON.stringify(entry) },
    { ...row, key: 'odd\nid', value: JSON.stringify(sound) },
    { ...row, key: 'odd-depth', value: '['.repeat(30_000) },
    { ...row, key: 'odd-number', value: JSON.stringify(sound).replace('64000', '1e400') },
  ];
  assert.ok((await store.commit({ conditions: [], puts, removals: [] })).isOk());
});

Then('all nodes still run', () => {
  const { nodes } = getState().deployment;
  assert.deepEqual(
    nodes.map(({ isRunning }) => isRunning),
    nodes.map(() => true),
  );
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

Then('no run has lost its lease', () => {
  const { runs } = getState().deployment.runHistory;
  assert.deepEqual(
    runs.filter(({ endKind }) => endKind === 'lapsed'),
    [],
  );
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

Then('every node refuses submissions and is not ready', async () => {
  const { deployment } = getState();
  for (const node of deployment.nodes) {
    while (await deployment.isReady(node)) {
      const response = await deployment.submit(node, createSubmissionId(), [1], TASK_SPEC);
      assert.equal(response.status, 503);
    }
  }
});

Then('every node is ready', async () => {
  const { deployment } = getState();
  for (const node of deployment.nodes) {
    while (!(await deployment.isReady(node))) await sleep(RETRY_DELAY_MS);
  }
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
