import { ChangeKind } from '@currantgap/environment';
import { formatTable, type TableRow } from '@currantgap/cli';
import {
  createDocument,
  FAROLITO,
  Fleet,
  MANTOJUMA,
  type DeploymentShape,
} from '@currantgap/standins';
import { existsSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { checkPromises, countLateStarts } from './audit.ts';
import { Balancer } from './balancer.ts';
import { Load, type LoadStream, type TeamResult } from './load.ts';
import { wait } from './wait.ts';

const ENTRY_COUNT = 3;
const SEED = 20261204;
const DURATION_MS = 15_000;
const OUT_AT_MS = 5_000;
const IN_AT_MS = 10_000;
/** Milliseconds after a take-out within which the last start may come. */
const TAKE_OUT_BOUND_MS = 4_000;
const RUN_MS = 150;
const TIMEOUT_MS = 5_000;
/** Requests a second of one team on one service, on average. */
const MEAN_RATE = 16;
const BURST_FACTOR = 5;
const QUIET_FACTOR = 1 / 20;
const BURST_MS = 3_000;

const binary = fileURLToPath(new URL('../../../dist/currantgap', import.meta.url));
const bundle = fileURLToPath(new URL('../../../dist/currantgap.cjs', import.meta.url));
const command = existsSync(binary) ? [binary] : [process.execPath, bundle];

let isKept = true;
for (const [name, shape] of [
  ['Mantojuma', MANTOJUMA],
  ['Farolito', FAROLITO],
] as const) {
  isKept = (await showDeployment(name, shape)) && isKept;
}
process.stdout.write(isKept ? 'every promise was kept\n' : 'A PROMISE WAS BROKEN\n');
process.exitCode = isKept ? 0 : 1;

/** Runs one deployment through bursts and a data centre's departure; true when promises held. */
async function showDeployment(name: string, shape: DeploymentShape): Promise<boolean> {
  const fleet = new Fleet({ shape, entryCount: ENTRY_COUNT, command, runMs: RUN_MS });
  try {
    process.stdout.write(`${name}: starting ${ENTRY_COUNT} entries on loopback\n`);
    await fleet.start();
    const balancer = new Balancer(fleet);
    balancer.start();
    const load = new Load({
      streams: createStreams(fleet, shape),
      durationMs: DURATION_MS,
      seed: SEED,
      choosePort: () => balancer.choosePort(),
    });
    const dataCentre = shape.dataCentres[0] ?? '';
    const [results, window] = await Promise.all([load.run(), takeOutAndIn(fleet, dataCentre)]);
    balancer.stop();
    const document = createDocument(shape, () => '');
    const vms = document.vms.filter((vm) => vm.dataCentre === dataCentre).map((vm) => vm.name);
    const late = countLateStarts(
      fleet.log,
      new Set(vms),
      window.outAt + TAKE_OUT_BOUND_MS,
      window.inAt,
    );
    const audit = { ...checkPromises(fleet.log, results, document), startsAfterTakeOut: late };
    process.stdout.write(formatTable(results.map((result) => formatResult(result, shape))));
    process.stdout.write(formatTable([audit]));
    return Object.values(audit).every((count) => count === 0);
  } finally {
    await fleet.close();
  }
}

/** Each service in turn gets five times its mean for some seconds and a twentieth in between. */
function createStreams(fleet: Fleet, shape: DeploymentShape): LoadStream[] {
  return shape.services.flatMap((service, position) =>
    shape.teams.map((team) => ({
      team: team.name,
      service: service.name,
      key: fleet.keys.get(team.name) ?? '',
      runMs: RUN_MS,
      timeoutMs: TIMEOUT_MS,
      getRate: (elapsedMs: number) => {
        const turn = Math.floor(elapsedMs / BURST_MS) % shape.services.length;
        return MEAN_RATE * (turn === position ? BURST_FACTOR : QUIET_FACTOR);
      },
    })),
  );
}

async function takeOutAndIn(
  fleet: Fleet,
  dataCentre: string,
): Promise<{ outAt: number; inAt: number }> {
  await wait(OUT_AT_MS);
  await fleet.change({ kind: ChangeKind.TakeOutDataCentre, dataCentre }, 1);
  const outAt = performance.now();
  await wait(IN_AT_MS - OUT_AT_MS);
  const inAt = performance.now();
  await fleet.change({ kind: ChangeKind.BringBackDataCentre, dataCentre }, 2);
  return { outAt, inAt };
}

function formatResult(result: TeamResult, shape: DeploymentShape): TableRow {
  return {
    team: result.team,
    share: shape.teams.find((team) => team.name === result.team)?.share ?? 0,
    sent: result.sent,
    ran: result.ran,
    'not-run': result.notRun,
    unknown: result.unknown,
    'p50 ms': result.totalMs.getValueAtPercentile(50),
    'p99 ms': result.totalMs.getValueAtPercentile(99),
  };
}
