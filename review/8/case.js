import { setTimeout as sleep } from 'node:timers/promises';
import { createId } from '../standins-2/deployment.js';
import { findStuck } from '../standins-2/lost.js';
import { playCase } from '../standins-2/play.js';

const SERVICE = 'kartes';
const WAVE = 1;
const MACHINES = ['m1', 'm2'];
/** Seconds in which the wave is due. */
const DURATION_S = 26;
/** Milliseconds after the last upkeep has begun until the process that ordered it is told to stop. */
const STOP_AFTER_MS = 100;
/** Milliseconds of `grace_s`. */
const GRACE_MS = 6_000;
/** Milliseconds after which a process that has ended is started again. */
const RESTART_MS = 500;

await playCase(import.meta.url, async (deployment, hasTrouble) => {
  const { store, record } = deployment;
  await deployment.openPlatform({ hasMachines: true });
  for (const name of MACHINES) await deployment.machines.add(name, SERVICE);
  await deployment.startNodes(['riga-a', 'riga-b']);
  await sleep(4_000);
  for (const node of deployment.nodes) await deployment.submit(node, createId(), { ms: 500 });
  await sleep(2_000);
  const begun = new Promise((resolve) => {
    deployment.machines.onOrder = () => {
      if (deployment.machines.listMaintained(WAVE).length === MACHINES.length) resolve();
    };
  });
  const wave = { wave: WAVE, machines: MACHINES, duration_s: DURATION_S, cap: MACHINES.length };
  store.write('op', `wave/${WAVE}`, wave);
  record.write(`wave ${WAVE} acknowledged: ${MACHINES.join(' ')}, both at once`);
  await begun;
  await sleep(STOP_AFTER_MS);
  if (hasTrouble) {
    const owner = deployment.findOwner();
    record.write(`process ${owner.name} told to stop`);
    await owner.stop(GRACE_MS);
    record.write(`process ${owner.name} has ended`);
    await sleep(RESTART_MS);
    owner.start();
  }
  await sleep(12_000);
  return findStuck(deployment, { count: 4, ms: 500 });
});
