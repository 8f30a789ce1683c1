import { createSubmissionId, StandinTargetFailure, waitUntil } from '@currantgap/standins';
import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { submitUntil } from './incarnation-steps.ts';
import { getState } from './platform-steps.ts';

const MS_PER_SECOND = 1_000;
const TASK_SPEC = { cpu: 40, ms: 250 };
/** Milliseconds of submissions beside the persistent task: two take-overs and the bound after them. */
const SUBMISSIONS_MS = 20_000;
/** Milliseconds after a start in which its call times out and the roster row that says so is stored. */
const UNANSWERED_MS = 2_000;
/** Milliseconds for which a task is observed that does not run in time, so that its wait is measured. */
const OBSERVATION_MS = 60_000;

let task = '';

When(
  'the first target carries out the start of a persistent task and answers nothing',
  async () => {
    const { deployment } = getState();
    const [target] = deployment.targets;
    const [node] = deployment.nodes;
    assert.ok(target && node);
    target.failure = StandinTargetFailure.Mute;
    const id = createSubmissionId();
    task = `${id}.0.0.0`;
    const taskSpec = { ...TASK_SPEC, isPersistent: true };
    assert.equal((await deployment.submit(node, id, [1], taskSpec)).status, 200);
    await waitUntil(() => deployment.runHistory.listRuns(id).length > 0);
  },
);

When('another target opens and submissions go on', async () => {
  await getState().deployment.openTargets(1);
  void submitUntil(performance.now() + SUBMISSIONS_MS, TASK_SPEC.ms);
  await sleep(UNANSWERED_MS);
});

When('the owner is killed and another node takes over', async () => {
  const { deployment } = getState();
  const takeOvers = deployment.countTakeOvers();
  await deployment.findOwner()?.kill();
  await waitUntil(() => deployment.countTakeOvers() > takeOvers);
});

When('the first target leaves for good', async () => {
  await getState().deployment.targets[0]?.leave();
});

Then(
  'the persistent task runs elsewhere within {int} s of the end of its last run',
  async (seconds: number) => {
    const { runs } = getState().deployment.runHistory;
    const findRun = (isFirst: boolean) =>
      runs.find((run) => run.task === task && (run.target === 't0') === isFirst);
    const endedAt = findRun(true)?.endedAt;
    assert.ok(endedAt !== undefined, 'the run on the first target has ended');
    await waitUntil(() => findRun(false) !== undefined, OBSERVATION_MS);
    const waitMs = Math.round((findRun(false)?.startedAt ?? Infinity) - endedAt);
    assert.ok(waitMs <= seconds * MS_PER_SECOND, `it runs ${waitMs} ms after the end`);
  },
);
