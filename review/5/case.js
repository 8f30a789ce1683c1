import { createId, sleep } from '../standins/deployment.js';
import { isDisrupted, runCase } from '../standins/case.js';

/** The link of a node in the small twin of the site. */
const LINK_MBPS = 2;
const BOUNDS = { contact_ms: 4_000, ack_ms: 6_000, cancel_ms: 4_000, config_apply_ms: 3_000 };
const TASK = { cpu: 8_900, mem: 256, ms: 3_000, text: 'x'.repeat(1_900) };
const SUBMISSIONS = 1_000;
/** Milliseconds between two submissions: the usual traffic of the site. */
const PERIOD_MS = 22;
/** Milliseconds without traffic, so that no machine counts as choked. */
const QUIET_MS = 6_000;
const CANCELS = 100;
/** Of the submissions that have not begun, one in so many is cancelled, the oldest first. */
const CANCEL_STRIDE = 3;
/** Milliseconds in which the feeds hear nothing before their history is dropped. */
const DEAF_MS = 1_000;
const WATCH_MS = 18_000;

await runCase(import.meta.dirname, async (deployment) => {
  const { history, store } = deployment;
  await deployment.start({
    services: { cotiza: { count: 4, cpu: 64_000 } },
    routes: [{ name: 'checks', service: 'cotiza', targetLatencyMs: 60_000 }],
    linkMbps: LINK_MBPS,
    bounds: BOUNDS,
  });
  const ids = await submitAll(deployment);
  if (ids.length < SUBMISSIONS / 2) throw new Error(`only ${ids.length} were accepted`);
  await sleep(QUIET_MS);
  const begun = new Set(history.runs.map(({ task }) => task.slice(0, ids[0].length)));
  const open = ids.filter((id) => !begun.has(id));
  const chosen = open.filter((_, index) => index % CANCEL_STRIDE === 0).slice(0, CANCELS);
  store.areFeedsDeaf = isDisrupted;
  const deafFrom = history.now;
  const cancelled = new Map();
  await Promise.all(
    chosen.map(async (id) => {
      const { status } = await deployment.call('DELETE', `/checks/${id}`);
      if (status === 200 || status === 410) cancelled.set(id, history.now);
    }),
  );
  await sleep(Math.max(0, deafFrom + DEAF_MS - history.now));
  const disruptedUntil = history.now;
  store.areFeedsDeaf = false;
  if (isDisrupted) {
    store.dropHistory();
    history.write('the history is dropped');
  }
  await sleep(WATCH_MS);
  // Calm machines are in touch from then on.
  const inTouchFrom = disruptedUntil + BOUNDS.contact_ms;
  const late = history.runs.flatMap(({ task, startedAt }) => {
    const cancelledAt = cancelled.get(task.slice(0, ids[0].length));
    if (cancelledAt === undefined || startedAt < inTouchFrom) return [];
    const lateMs = startedAt - cancelledAt;
    return lateMs > BOUNDS.cancel_ms ? [{ task, startedAt, lateMs }] : [];
  });
  console.log(
    `${ids.length} accepted, ${open.length} open, ${cancelled.size} cancelled, ` +
      `${late.length} tasks of these started late`,
  );
  return late.map(
    ({ task, startedAt, lateMs }) =>
      `UNASKED ${task} starts at ${startedAt}, ${lateMs} ms after its cancelling was acknowledged`,
  );
});

/** Submits at the usual rate; resolves to the ids that were accepted. */
async function submitAll(deployment) {
  const step = { count: 1, cpu: TASK.cpu, mem_mb: TASK.mem, estimated_ms: TASK.ms };
  const body = { spec: JSON.stringify([TASK]), steps: [step] };
  const accepted = [];
  const calls = [];
  for (let index = 0; index < SUBMISSIONS; index += 1) {
    const id = createId();
    const submit = async () => {
      if ((await deployment.submit('checks', id, body)) === 200) accepted.push(id);
    };
    calls.push(submit());
    await sleep(PERIOD_MS);
  }
  await Promise.all(calls);
  return accepted;
}
