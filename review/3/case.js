import { createId, sleep } from '../deployment.js';
import { isDisrupted, runCase } from '../play.js';

const TASK = { cpu: 4_100, mem: 1_024, ms: 3_000 };
const SUBMISSIONS = 4;
const TASKS = 6;
/** Milliseconds for which the rule lets a submission have nothing running. */
const IDLE_MS = 3_000;
const FINISH_MS = 14_000;
const SERVICES = ['cotiza', 'pedidos'];
const KEPT = { name: 'orders', service: 'pedidos' };
const DROPPED = { name: 'checks', service: 'cotiza', maxAttempts: 3 };

await runCase(import.meta.dirname, async (deployment) => {
  const { history } = deployment;
  await deployment.start({
    services: { cotiza: { count: 6, cpu: 64_000 }, pedidos: { count: 8, cpu: 64_000 } },
    routes: [KEPT, DROPPED],
  });
  const step = { count: TASKS, cpu: TASK.cpu, mem_mb: TASK.mem, estimated_ms: TASK.ms };
  const chains = Array.from({ length: SUBMISSIONS }, createId);
  const chain = { spec: JSON.stringify([TASK, TASK]), steps: [step, { ...step, after: [0] }] };
  const retried = createId();
  const failsOnce = { spec: JSON.stringify([{ ...TASK, failures: 1 }]), steps: [step] };
  const answers = await Promise.all([
    ...chains.map((id) => deployment.submit(DROPPED.name, id, chain)),
    deployment.submit(DROPPED.name, retried, failsOnce),
  ]);
  if (answers.some((status) => status !== 200)) throw new Error(`answers: ${answers.join(' ')}`);
  await sleep(500);
  deployment.configure({ services: SERVICES, routes: [KEPT] });
  await sleep(1_000);
  if (isDisrupted) deployment.signal(deployment.findOwner(), 'SIGTERM');
  await sleep(FINISH_MS + IDLE_MS);
  const findings = chains.flatMap((id) => findIdle(history, id));
  deployment.configure({ services: SERVICES, routes: [KEPT, DROPPED] });
  await sleep(IDLE_MS);
  const { text } = await deployment.call('GET', `/${DROPPED.name}/${retried}`);
  const attempts = Math.max(
    ...Array.from({ length: TASKS }, (_, index) => history.countRuns(`${retried}.0.0.${index}`)),
  );
  if (text.includes('failed') && attempts < DROPPED.maxAttempts)
    findings.push(
      `LOST ${retried}: shown as failed after ${attempts} of ${DROPPED.maxAttempts} attempts`,
    );
  return findings;
});

/** Describes a submission with open tasks of which none has run for too long. */
function findIdle(history, id) {
  const runs = history.runs.filter(({ task }) => task.startsWith(id));
  const done = new Set(runs.filter(({ how }) => how === 'done').map(({ task }) => task));
  const idleMs = history.now - Math.max(...runs.map(({ endedAt = Infinity }) => endedAt));
  if (done.size === 2 * TASKS || idleMs <= IDLE_MS) return [];
  return [
    `LOST ${id}: ${done.size} of ${2 * TASKS} tasks done, nothing running for ${idleMs} ms, all executors idle`,
  ];
}
