/** Measures the product and a baseline side by side on each deployment and prints tables. */
import { formatTable, type TableRow } from '@currantgap/cli';
import { computeMaxMinAllocation } from '@currantgap/sharing';
import { createDocument, FAROLITO, MANTOJUMA, type DeploymentShape } from '@currantgap/standins';
import { checkGuarantees, countLateStarts } from './audit.ts';
import { BaselineSystem, type MeasuredSystem } from './baseline.ts';
import { Load, type LoadStream } from './load.ts';
import { ProductSystem } from './product.ts';
import { wait } from './wait.ts';

const ENTRY_COUNT = 6;
const SEED = 4711;
const RUN_MS = 100;
const MS_PER_SECOND = 1_000;
const SLOTS = 8;
const WARM_UP_MS = 3_000;
const SHARE_LOAD_MS = 12_000;
const OUT_AT_MS = 4_000;
const IN_AT_MS = 9_000;
const TAKE_OUT_LOAD_MS = 14_000;
/** Milliseconds after a take-out within which the last request can start in the data centre. */
const TAKE_OUT_BOUND_MS = 4_000;
const GOODPUT_MS = 6_000;
const TIMEOUT_MS = 2_000;
/** Offered load of each team, as a multiple of the slots to which its share entitles it. */
const OFFERED_FACTORS = [3, 2, 0.5, 2, 2, 2, 0.5] as const;
/** Offered load of all teams, as multiples of the slots. */
const GOODPUT_FACTORS = [0.5, 1, 2, 5] as const;
/** Offered load of all teams, as a multiple of the slots left during the take-out. */
const TAKE_OUT_FACTOR = 1.2;

interface Deployment {
  readonly name: string;
  readonly shape: DeploymentShape;
  /** Service to which the load is sent. */
  readonly service: string;
}

const DEPLOYMENTS: readonly Deployment[] = [
  { name: 'Mantojuma', shape: MANTOJUMA, service: 'velves' },
  { name: 'Farolito', shape: FAROLITO, service: 'pedidos' },
];

process.stdout.write(`seed ${SEED}, ${ENTRY_COUNT} entries, ${RUN_MS} ms a request\n`);
for (const deployment of DEPLOYMENTS) await measureDeployment(deployment);

async function measureDeployment(deployment: Deployment): Promise<void> {
  const rows: TableRow[] = [];
  const teamRows: TableRow[] = [];
  for (const system of await startSystems(deployment)) {
    const shares = await measureShares(deployment, system);
    teamRows.push(...shares.teams);
    const takeOut = await measureTakeOut(deployment, system);
    const goodput = await measureGoodput(deployment, system);
    rows.push({
      system: system.name,
      'worst share error %': formatPercent(shares.worst),
      'work through departure %': formatPercent(takeOut.ratio),
      'late starts': takeOut.lateStarts,
      ...Object.fromEntries(
        goodput.map(({ factor, ratio }) => [`goodput ${factor}x %`, formatPercent(ratio)]),
      ),
      ...takeOut.audit,
    });
    await system.close();
  }
  process.stdout.write(`\n${deployment.name}, service ${deployment.service}\n`);
  process.stdout.write(formatTable(teamRows));
  process.stdout.write(formatTable(rows));
}

async function startSystems({ shape, service }: Deployment): Promise<MeasuredSystem[]> {
  const product = new ProductSystem(shape, ENTRY_COUNT, RUN_MS);
  await product.start();
  const baseline = new BaselineSystem();
  await baseline.start(shape, service, ENTRY_COUNT, RUN_MS);
  return [product, baseline];
}

/**
 * Measures how far each team's concurrency is from its weighted max-min share, relative to that
 * share. Each team offers a fraction or a multiple of its entitlement. The team with the largest
 * share sends all its requests to one entry.
 */
async function measureShares(
  deployment: Deployment,
  system: MeasuredSystem,
): Promise<{ worst: number; teams: TableRow[] }> {
  const { shape } = deployment;
  const slots = countSlots(deployment);
  const shareSum = shape.teams.reduce((sum, team) => sum + team.share, 0);
  const claims = shape.teams.map((team, index) => ({
    name: team.name,
    weight: team.share,
    demand: Math.min(team.limit, ((OFFERED_FACTORS[index] ?? 1) * slots * team.share) / shareSum),
  }));
  const ideal = computeMaxMinAllocation(slots, claims);
  const largestTeam = [...shape.teams].sort((left, right) => right.share - left.share)[0]?.name;
  const ports = system.listPorts();
  let requestCount = 0;
  const load = new Load({
    streams: claims.map(({ name, demand }) => createStream(deployment, system, name, demand)),
    durationMs: SHARE_LOAD_MS,
    seed: SEED,
    choosePort: (stream) => {
      requestCount += 1;
      return (stream.team === largestTeam ? ports[0] : ports[requestCount % ports.length]) ?? 0;
    },
  });
  const from = performance.now() + WARM_UP_MS;
  const to = performance.now() + SHARE_LOAD_MS;
  await load.run();
  const teams = claims.map(({ name }) => {
    const runs = countRuns(system, name, from, to);
    const concurrency = (runs * RUN_MS) / (to - from);
    const share = ideal.get(name) ?? 0;
    return {
      system: system.name,
      team: name,
      ideal: share,
      got: concurrency,
      error: Math.abs(concurrency / share - 1),
    };
  });
  return {
    worst: Math.max(...teams.map((team) => team.error)),
    teams: teams.map((team) => ({
      ...team,
      ideal: team.ideal.toFixed(1),
      got: team.got.toFixed(1),
      error: `${formatPercent(team.error)}%`,
    })),
  };
}

/**
 * Measures the requests run while a data centre is out of service for a time, relative to what the
 * slots in service could run.
 */
async function measureTakeOut(
  deployment: Deployment,
  system: MeasuredSystem,
): Promise<{ ratio: number; lateStarts: number; audit: TableRow }> {
  const { shape } = deployment;
  const slots = countSlots(deployment);
  const [dataCentre = ''] = shape.dataCentres;
  const document = createDocument(shape, () => '');
  const vms = document.vms.filter(
    (vm) => vm.dataCentre === dataCentre && vm.pool === deployment.service,
  );
  const remainingSlots = slots - vms.length * SLOTS;
  const offered = remainingSlots * TAKE_OUT_FACTOR;
  const startedAt = performance.now();
  const before = system.log.runs.length;
  const load = createEvenLoad(deployment, system, offered, TAKE_OUT_LOAD_MS);
  const [results, window] = await Promise.all([
    load.run(),
    takeOutAndBringBack(system, dataCentre),
  ]);
  const runs = system.log.runs
    .slice(before)
    .filter((run) => run.startedAt < startedAt + TAKE_OUT_LOAD_MS).length;
  const outSeconds = (window.inAt - window.outAt) / MS_PER_SECOND;
  const inSeconds = TAKE_OUT_LOAD_MS / MS_PER_SECOND - outSeconds;
  const ratePerSlot = MS_PER_SECOND / RUN_MS;
  const ideal =
    ratePerSlot *
    (Math.min(offered, remainingSlots) * outSeconds + Math.min(offered, slots) * inSeconds);
  const lateStarts = countLateStarts(
    system.log,
    new Set(vms.map((vm) => vm.name)),
    window.outAt + TAKE_OUT_BOUND_MS,
    window.inAt,
  );
  const audit = checkGuarantees(system.log, results, document);
  return { ratio: runs / ideal, lateStarts, audit: { ...audit } };
}

/**
 * Takes a data centre out of service and brings it back. Returns when the take-out had been
 * accepted and when the return was requested, in milliseconds of the monotonic clock.
 */
async function takeOutAndBringBack(
  system: MeasuredSystem,
  dataCentre: string,
): Promise<{ outAt: number; inAt: number }> {
  await wait(OUT_AT_MS);
  await system.setOut(dataCentre, true);
  const outAt = performance.now();
  await wait(IN_AT_MS - OUT_AT_MS);
  const inAt = performance.now();
  await system.setOut(dataCentre, false);
  return { outAt, inAt };
}

/** Measures goodput at growing offered load, relative to the lesser of load and capacity. */
async function measureGoodput(
  deployment: Deployment,
  system: MeasuredSystem,
): Promise<{ factor: number; ratio: number }[]> {
  const slots = countSlots(deployment);
  const points: { factor: number; ratio: number }[] = [];
  for (const factor of GOODPUT_FACTORS) {
    const results = await createEvenLoad(deployment, system, slots * factor, GOODPUT_MS).run();
    const ran = results.reduce((sum, result) => sum + result.ran, 0);
    const sent = results.reduce((sum, result) => sum + result.sent, 0);
    const seconds = (GOODPUT_MS + TIMEOUT_MS) / MS_PER_SECOND;
    const capacity = (slots * MS_PER_SECOND * seconds) / RUN_MS;
    points.push({ factor, ratio: ran / Math.min(sent, capacity) });
  }
  return points;
}

/** Creates a load in proportion to the shares of the teams, spread over all entries. */
function createEvenLoad(
  deployment: Deployment,
  system: MeasuredSystem,
  slots: number,
  durationMs: number,
): Load {
  const { teams } = deployment.shape;
  const shareSum = teams.reduce((sum, team) => sum + team.share, 0);
  const ports = system.listPorts();
  let requestCount = 0;
  return new Load({
    streams: teams.map((team) =>
      createStream(deployment, system, team.name, (slots * team.share) / shareSum),
    ),
    durationMs,
    seed: SEED,
    choosePort: () => {
      requestCount += 1;
      return ports[requestCount % ports.length] ?? 0;
    },
  });
}

/** Creates the stream of a team; `slots` is its offered load as a mean number of busy slots. */
function createStream(
  deployment: Deployment,
  system: MeasuredSystem,
  team: string,
  slots: number,
): LoadStream {
  return {
    team,
    service: deployment.service,
    key: system.getKey(team),
    runMs: RUN_MS,
    timeoutMs: TIMEOUT_MS,
    getRate: () => (slots * MS_PER_SECOND) / RUN_MS,
  };
}

function countSlots({ shape, service }: Deployment): number {
  return SLOTS * (shape.services.find((candidate) => candidate.name === service)?.vms ?? 0);
}

function countRuns(system: MeasuredSystem, team: string, from: number, to: number): number {
  return system.log.runs.filter(
    (run) => run.team === team && run.startedAt >= from && run.startedAt < to,
  ).length;
}

function formatPercent(ratio: number): string {
  return (ratio * 100).toFixed(1);
}
