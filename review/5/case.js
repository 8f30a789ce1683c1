import { createId, sleep } from '../standins/deployment.js';
import { isDisrupted, runCase } from '../standins/case.js';

const TASK = { cpu: 4_100, mem: 1_024, ms: 1_000 };
const LARGE_SUBMISSIONS = 44;
const LARGE_TASKS = 6_000;
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
    const large = buildSubmission(LARGE_TASKS);
    await Promise.all(
      Array.from({ length: LARGE_SUBMISSIONS }, () =>
        deployment.submit('renders', createId(), large),
      ),
    );
  }
  const ids = [];
  for (let index = 0; index < ORDERS; index += 1) {
    const id = createId();
    if ((await deployment.submit('orders', id, buildSubmission(ORDER_TASKS))) === 200) ids.push(id);
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

function buildSubmission(count) {
  const step = { count, cpu: TASK.cpu, mem_mb: TASK.mem, estimated_ms: TASK.ms };
  return { spec: JSON.stringify([TASK]), steps: [step] };
}
