import { createSubmissionId, StandinTargetFailure, type RunHistory } from '@currantgap/standins';
import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { getState } from './platform-steps.ts';

const MS_PER_SECOND = 1_000;
/** Lets all tasks of a scenario run beside each other on one target. */
const TASK_CPU_MILLIS = 40;
const SUBMISSION_INTERVAL_MS = 125;
/** Milliseconds of submissions before the crash, so that the target has runs. */
const LEAD_MS = 1_500;
/** Milliseconds of submissions after the return. */
const SUBMISSIONS_AFTER_RETURN_MS = 5_000;

Given('the targets have been up for {int} s', async (seconds: number) => {
  await sleep(seconds * MS_PER_SECOND);
});

When(
  'the first target crashes for {int} ms while tasks of {int} ms are submitted, and carries out the calls of that time after {string} ms',
  async (downMs: number, taskMs: number, delays: string) => {
    const [target] = getState().deployment.targets;
    assert.ok(target);
    const endsAt = performance.now() + LEAD_MS + downMs + SUBMISSIONS_AFTER_RETURN_MS;
    void submitUntil(endsAt, taskMs);
    await sleep(LEAD_MS);
    const callDelaysMs = delays.split(' and ').map(Number);
    assert.ok((await target.crash({ downMs, callDelaysMs })) > 0, 'the target got calls');
  },
);

When('the first target is cut off from the nodes {int} ms after its return', async (ms: number) => {
  const [target] = getState().deployment.targets;
  assert.ok(target);
  if (ms > 0) await sleep(ms);
  target.failure = StandinTargetFailure.Silent;
});

Then('no task has run twice after {int} s', async (seconds: number) => {
  await sleep(seconds * MS_PER_SECOND);
  const { runHistory } = getState().deployment;
  const lines = runHistory.findDuplicateTasks().map((task) => describeRuns(runHistory, task));
  assert.deepEqual(lines, []);
});

/** Sends submissions of one task each to the nodes in turn until a monotonic time in milliseconds. */
export async function submitUntil(endsAt: number, ms: number): Promise<void> {
  const { deployment } = getState();
  const { nodes } = deployment;
  for (let count = 0; performance.now() < endsAt; count += 1) {
    const node = nodes[count % nodes.length];
    if (node !== undefined)
      void deployment.submit(node, createSubmissionId(), [1], { cpu: TASK_CPU_MILLIS, ms });
    await sleep(SUBMISSION_INTERVAL_MS);
  }
}

function describeRuns(runHistory: RunHistory, task: string): string {
  const runs = runHistory.runs.filter((run) => run.task === task);
  const lines = runs.map(({ run, target, startedAt, endedAt, endKind }) => {
    const times = `${Math.round(startedAt)} to ${Math.round(endedAt ?? Infinity)} ms`;
    return `run ${run} on ${target} from ${times} ${endKind ?? 'active'}`;
  });
  return `${task}: ${lines.join(', ')}`;
}
