import { createId, sleep } from '../deployment.js';
import { isDisrupted, runCase } from '../play.js';

const TASK = { cpu: 4_100, mem: 1_024, ms: 1_000 };
const ORDERS = 40;
const ORDER_TASKS = 6;
const ORDER_PERIOD_MS = 500;
/** The schedule: an occurrence a minute, whose first one was due two days ago. */
const OCCURRENCES = 2_880;
const INTERVAL_MS = 60_000;
const SCHEDULED_TASKS = 6;
/** `ack_ms`, after which most ends that were listed must be taken note of. */
const ACKNOWLEDGEMENT_MS = 4_000;
/** Share of the listed ends that need not be taken note of by then. */
const ALLOWED_SHARE = 1 / 5;
const FINISH_MS = 14_000;

await runCase(import.meta.dirname, async (deployment) => {
  const { history, store } = deployment;
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
  const ids = Array.from({ length: ORDERS }, createId);
  for (const id of ids) {
    const status = await deployment.submit('orders', id, buildSubmission([ORDER_TASKS]));
    if (status !== 200) throw new Error(`an order was answered ${status}`);
    await sleep(ORDER_PERIOD_MS);
  }
  await sleep(FINISH_MS);
  let open = 0;
  for (const id of ids) {
    const { text } = await deployment.call('GET', `/orders/${id}`);
    if (!text.includes('completed')) open += 1;
  }
  const due = history.runs.filter(({ listedAt }) => listedAt < history.now - ACKNOWLEDGEMENT_MS);
  const missing = due.filter(({ isAcknowledged }) => !isAcknowledged);
  const rejected = [...store.rejected].map(([limit, count]) => `${count} for ${limit}`).join(', ');
  const summary =
    `${missing.length} of ${due.length} listed ends were not taken note of, ` +
    `${open} of ${ORDERS} orders not shown as completed; transactions rejected: ${rejected || 'none'}`;
  console.log(summary);
  return missing.length > ALLOWED_SHARE * due.length ? [`Acks ${summary}`] : [];
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
