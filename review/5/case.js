import { createId, sleep } from '../standins/deployment.js';
import { isDisrupted, runCase } from '../standins/case.js';

const TASK = { cpu: 4_100, mem: 1_024, ms: 1_000 };
/** The schedule: an occurrence each 5 s of a day, whose first one was due a day ago. */
const OCCURRENCES = 17_280;
const INTERVAL_MS = 5_000;
const SCHEDULED_TASKS = 8;
const ORDERS = 10;
const ORDER_TASKS = 6;
const ORDER_PERIOD_MS = 1_000;
/** Times that processes of a machine may not end by themselves, and machines that this may not happen to. */
const FAULT_ENDS = 3;
const FAULT_MACHINES = 2;
const WATCH_MS = 75_000;

await runCase(import.meta.dirname, async (deployment) => {
  const { nodes } = deployment;
  await deployment.start({
    services: { cotiza: { count: 6, cpu: 64_000 }, pedidos: { count: 8, cpu: 64_000 } },
    routes: [
      { name: 'renders', service: 'cotiza' },
      { name: 'orders', service: 'pedidos' },
    ],
  });
  if (isDisrupted) {
    const schedule = {
      ...buildSubmission([SCHEDULED_TASKS, SCHEDULED_TASKS]),
      iterations: OCCURRENCES,
      first_run_ms: Date.now() - OCCURRENCES * INTERVAL_MS,
      interval_ms: INTERVAL_MS,
    };
    const status = await deployment.submit('renders', createId(), schedule);
    if (status !== 200) throw new Error(`the schedule was answered ${status}`);
  }
  const ids = [];
  for (let index = 0; index < ORDERS; index += 1) {
    const id = createId();
    if ((await deployment.submit('orders', id, buildSubmission([ORDER_TASKS]))) === 200)
      ids.push(id);
    await sleep(ORDER_PERIOD_MS);
  }
  const hasFailed = () => nodes.filter(({ ends }) => ends >= FAULT_ENDS).length >= FAULT_MACHINES;
  const watchMs = isDisrupted ? WATCH_MS : WATCH_MS / 3;
  const isBroken = await deployment.waitFor(hasFailed, watchMs);
  let open = 0;
  for (const id of ids) {
    const { text } = await deployment.call('GET', `/orders/${id}`);
    if (!text.includes('completed')) open += 1;
  }
  const summary =
    `processes ended by themselves: ${nodes.map(({ name, ends }) => `${name} ${ends}`).join(', ')}; ` +
    `${open} of ${ids.length} accepted orders of another queue not shown as completed`;
  console.log(summary);
  return isBroken ? [`Fault ${summary}`] : [];
});

function buildSubmission(counts) {
  const { cpu, mem, ms } = TASK;
  return {
    spec: JSON.stringify(counts.map(() => TASK)),
    steps: counts.map((count, index) => ({
      count,
      cpu,
      mem_mb: mem,
      estimated_ms: ms,
      ...(index > 0 ? { after: [index - 1] } : {}),
    })),
  };
}
