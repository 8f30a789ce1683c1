import { setTimeout as sleep } from 'node:timers/promises';
import { createId } from '../standins-2/deployment.js';
import { playCase } from '../standins-2/play.js';
import { findTwice } from '../standins-2/twice.js';

/** Milliseconds of a task. */
const TASK_MS = 9_000;
/** Milliseconds for which a machine stands still: the dose of the site file. */
const FREEZE_MS = 1_700;
/** Milliseconds of the freeze after which the executor crashes, and for which it is down. */
const CRASH_AFTER_MS = 1_000;
const DOWN_MS = 500;

await playCase(import.meta.url, async (deployment, hasTrouble) => {
  await deployment.openPlatform();
  // The first process owns the fleet; the second one is alone in the zone of the first executor.
  await deployment.startNodes(['riga-a']);
  await deployment.startNodes(['riga-b']);
  const near = await deployment.openExecutor({ zone: 'riga-b', cores: 8 });
  await deployment.openExecutor({ zone: 'riga-a', cores: 16 });
  await sleep(4_000);
  const [owner, frozen] = deployment.nodes;
  if (deployment.findOwner() !== owner) throw new Error('another process owns the fleet');
  if (hasTrouble) {
    frozen.signal('SIGSTOP');
    deployment.record.write(`process ${frozen.name} stands still`);
  }
  const frozenAt = performance.now();
  for (let index = 0; index < 8; index += 1)
    await deployment.submit(owner, createId(), { ms: TASK_MS });
  await sleep(CRASH_AFTER_MS - (performance.now() - frozenAt));
  if (hasTrouble) {
    near.end('crash');
    await sleep(DOWN_MS);
    await deployment.openExecutor({
      id: near.id,
      port: Number(near.address.split(':')[1]),
      zone: 'riga-b',
      cores: 8,
    });
  }
  await sleep(FREEZE_MS - (performance.now() - frozenAt));
  frozen.signal('SIGCONT');
  deployment.record.write(`process ${frozen.name} wakes`);
  await sleep(3 * TASK_MS);
  return findTwice(deployment.runs);
});
