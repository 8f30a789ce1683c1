/** Runs each deployment under load with a take-out of a data centre and checks the guarantees. */
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
import { checkGuarantees, countLateStarts } from './audit.ts';
import { Balancer } from './balancer.ts';
import { Load, type LoadStream, type TeamResult } from './load.ts';
import { wait } from './wait.ts';

const ENTRY_COUNT = 3;
const SEED = 20261204;
const DURATION_MS = 15_000;
const OUT_AT_MS = 5_000;
const IN_AT_MS = 10_000;
/** Milliseconds after a take-out within which the last request can start in the data centre. */
const TAKE_OUT_BOUND_MS = 4_000;
const RUN_MS = 150;
const TIMEOUT_MS = 5_000;
/** Mean requests per second of one team to one service. */
const MEAN_RATE = 16;
const BURST_FACTOR = 5;
const QUIET_FACTOR = 1 / 20;
const BURST_MS = 3_000;

const binary = fileURLToPath(new URL('../../../dist/currantgap', import.meta.url));
const bundle = fileURLToPath(new URL('../../../dist/currantgap.cjs', import.meta.url));
const command = existsSync(binary) ? [binary] : [process.execPath, bundle];

let hasPassed = true;
for (const [name, shape] of [
  ['Mantojuma', MANTOJUMA],
  ['Farolito', FAROLITO],
] as const) {
  hasPassed = (await runDeployment(name, shape)) && hasPassed;
}
process.stdout.write(hasPassed ? 'all guarantees held\n' : 'A GUARANTEE WAS VIOLATED\n');
process.exitCode = hasPassed ? 0 : 1;

/** Runs one deployment through bursts and a data centre take-out; true if all guarantees held. */
async function runDeployment(name: string, shape: DeploymentShape): Promise<boolean> {
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
    const [results, window] = await Promise.all([
      load.run(),
      takeOutAndBringBack(fleet, dataCentre),
    ]);
    balancer.stop();
    const document = createDocument(shape, () => '');
    const vms = document.vms.filter((vm) => vm.dataCentre === dataCentre).map((vm) => vm.name);
    const startsAfterTakeOut = countLateStarts(
      fleet.log,
      new Set(vms),
      window.outAt + TAKE_OUT_BOUND_MS,
      window.inAt,
    );
    const audit = { ...checkGuarantees(fleet.log, results, document), startsAfterTakeOut };
    process.stdout.write(formatTable(results.map((result) => formatResult(result, shape))));
    process.stdout.write(formatTable([audit]));
    return Object.values(audit).every((count) => count === 0);
  } finally {
    await fleet.close();
  }
}

/**
 * Creates a stream for each service and team. One service after the other receives a burst of
 * `BURST_FACTOR` times the mean rate; between its bursts it receives `QUIET_FACTOR` times the mean.
 */
function createStreams(fleet: Fleet, shape: DeploymentShape): LoadStream[] {
  return shape.services.flatMap((service, position) =>
    shape.teams.map((team) => ({
      team: team.name,
      service: service.name,
      key: fleet.keys.get(team.name) ?? '',
      runMs: RUN_MS,
      timeoutMs: TIMEOUT_MS,
      getRate: (elapsedMs: number) => {
        const burstPosition = Math.floor(elapsedMs / BURST_MS) % shape.services.length;
        return MEAN_RATE * (burstPosition === position ? BURST_FACTOR : QUIET_FACTOR);
      },
    })),
  );
}

/**
 * Takes a data centre out of service and brings it back. Returns when the take-out had been
 * accepted and when the return was requested, in milliseconds of the monotonic clock.
 */
async function takeOutAndBringBack(
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
