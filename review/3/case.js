import { createId, sleep } from '../standins/deployment.js';
import { isDisrupted, runCase } from '../standins/case.js';

const TASK = { cpu: 4_100, mem: 1_024, ms: 3_000 };
const SUBMISSIONS = 5;
const TASKS = 6;
/** Milliseconds for which the rule lets a submission have nothing running. */
const IDLE_MS = 3_000;
const FINISH_MS = 14_000;
const SERVICES = ['cotiza', 'pedidos'];

await runCase(import.meta.dirname, async (deployment) => {
  const { history } = deployment;
  const kept = { name: 'orders', service: 'pedidos' };
  await deployment.start({
    services: { cotiza: { count: 6, cpu: 64_000 }, pedidos: { count: 8, cpu: 64_000 } },
    routes: [kept, { name: 'checks', service: 'cotiza' }],
  });
  const step = { count: TASKS, cpu: TASK.cpu, mem_mb: TASK.mem, estimated_ms: TASK.ms };
  const ids = Array.from({ length: SUBMISSIONS }, createId);
  const body = { spec: JSON.stringify([TASK, TASK]), steps: [step, { ...step, after: [0] }] };
  const answers = await Promise.all(ids.map((id) => deployment.submit('checks', id, body)));
  if (answers.some((status) => status !== 200)) throw new Error(`answers: ${answers.join(' ')}`);
  await sleep(500);
  deployment.configure({ services: SERVICES, routes: [kept] });
  await sleep(1_000);
  if (isDisrupted) deployment.signal(deployment.findOwner(), 'SIGTERM');
  await sleep(FINISH_MS + IDLE_MS);
  const findings = [];
  for (const id of ids) {
    const runs = history.runs.filter(({ task }) => task.startsWith(id));
    const done = new Set(runs.filter(({ how }) => how === 'done').map(({ task }) => task));
    const lastEnd = Math.max(...runs.map(({ endedAt = Infinity }) => endedAt));
    if (done.size < 2 * TASKS && history.now - lastEnd > IDLE_MS)
      findings.push(
        `LOST ${id}: ${done.size} of ${2 * TASKS} tasks done, nothing running for ${history.now - lastEnd} ms, ` +
          'all executors idle',
      );
  }
  return findings;
});
