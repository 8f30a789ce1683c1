import { createId, sleep } from '../deployment.js';
import { isDisrupted, runCase } from '../play.js';
import { Outage } from '../store.js';

const OUTAGE_MS = 4_200;
const TASK = { cpu: 500, mem: 256, ms: 500 };
const SUBMISSIONS = 40;
const TASKS = 100;

await runCase(import.meta.dirname, async (deployment) => {
  const { store, history } = deployment;
  await deployment.start({
    services: { cotiza: { count: 2, cpu: 64_000 } },
    routes: [{ name: 'checks', service: 'cotiza' }],
  });
  const steps = [{ count: TASKS, cpu: TASK.cpu, mem_mb: TASK.mem, estimated_ms: TASK.ms }];
  const ids = Array.from({ length: SUBMISSIONS }, createId);
  const body = { spec: JSON.stringify([TASK]), steps };
  const answers = await Promise.all(ids.map((id) => deployment.submit('checks', id, body)));
  const accepted = ids.filter((_, index) => answers[index] === 200);
  if (accepted.length < SUBMISSIONS / 2) throw new Error(`only ${accepted.length} were accepted`);
  await sleep(1_000);
  if (isDisrupted) {
    history.write('the store is down');
    store.outage = Outage.Reset;
    await sleep(OUTAGE_MS);
    store.outage = Outage.None;
    history.write('the store is back');
  }
  const states = new Map();
  await deployment.waitFor(async () => {
    for (const id of accepted) {
      if (states.get(id) === 'completed') continue;
      const { status, text } = await deployment.call('GET', `/checks/${id}`);
      if (status === 200) states.set(id, JSON.parse(text).state);
    }
    return accepted.every((id) => states.get(id) === 'completed');
  }, 40_000);
  const open = accepted.filter((id) => states.get(id) !== 'completed');
  console.log(
    `${history.runs.length} runs of ${accepted.length * TASKS} tasks, ${open.length} not completed`,
  );
  return history.findTwice();
});
