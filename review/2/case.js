import { createId, sleep } from '../deployment.js';
import { isDisrupted, runCase } from '../play.js';

/** Milliseconds for which the executor is cut off from all machines. */
const CUT_MS = 5_500;
const TASK = { cpu: 8_900, mem: 1_024, ms: 9_000 };
const SUBMISSIONS = 5;
const TASKS = 6;
const SERVICES = ['cotiza', 'pedidos'];

await runCase(import.meta.dirname, async (deployment) => {
  const { history } = deployment;
  await deployment.start({
    services: { cotiza: { count: 6, cpu: 64_000 }, pedidos: { count: 8, cpu: 64_000 } },
    routes: [{ name: 'checks', service: 'cotiza' }],
  });
  const steps = [{ count: TASKS, cpu: TASK.cpu, mem_mb: TASK.mem, estimated_ms: TASK.ms }];
  const ids = Array.from({ length: SUBMISSIONS }, createId);
  const body = { spec: JSON.stringify([TASK]), steps };
  const answers = await Promise.all(ids.map((id) => deployment.submit('checks', id, body)));
  if (answers.some((status) => status !== 200)) throw new Error(`answers: ${answers.join(' ')}`);
  const isRunning = () => history.runs.length === SUBMISSIONS * TASKS;
  if (!(await deployment.waitFor(isRunning, 5_000))) throw new Error('not all tasks were started');
  await sleep(500);
  deployment.configure({ services: SERVICES, routes: [{ name: 'checks', service: 'pedidos' }] });
  await sleep(2_500);
  if (isDisrupted) {
    const { executor } = history.runs[0];
    const cut = deployment.executors.find((entry) => entry.executor.id === executor).executor;
    history.write(`${executor} is cut off`);
    cut.isCut = true;
    deployment.signal(deployment.findOwner(), 'SIGKILL');
    await sleep(CUT_MS);
    cut.isCut = false;
    history.write(`${executor} is back`);
  }
  const states = new Map();
  await deployment.waitFor(async () => {
    for (const id of ids) {
      const { status, text } = await deployment.call('GET', `/checks/${id}`);
      if (status === 200) states.set(id, JSON.parse(text).state);
    }
    await sleep(500);
    return ids.every((id) => states.get(id) === 'completed');
  }, 30_000);
  console.log(
    `${history.runs.length} runs of ${SUBMISSIONS * TASKS} tasks, ${[...states.values()].join(' ')}`,
  );
  return history.findTwice();
});
