import { formatTable, type TableRow } from '@currantgap/cli';
import { computeMaxMinAllocation } from '@currantgap/sharing';
import { createDocument, FAROLITO, MANTOJUMA, type DeploymentShape } from '@currantgap/standins';
import { checkPromises, countLateStarts } from './audit.ts';
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
const SHARE_MS = 12_000;
const OUT_AT_MS = 4_000;
const IN_AT_MS = 9_000;
const DEPARTURE_MS = 14_000;
const TAKE_OUT_BOUND_MS = 4_000;
const GOODPUT_MS = 6_000;
const TIMEOUT_MS = 2_000;
/** Offered load of a team against the slots that its share entitles it to. */
const OFFERED_FACTORS = [3, 2, 0.5, 2, 2, 2, 0.5] as const;
const GOODPUT_FACTORS = [0.5, 1, 2, 5] as const;
const DEPARTURE_FACTOR = 1.2;

interface Deployment {
  readonly name: string;
  readonly shape: DeploymentShape;
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
  const shares: TableRow[] = [];
  for (const system of await startSystems(deployment)) {
    const nearness = await measureNearness(deployment, system);
    shares.push(...nearness.teams);
    const departure = await measureDeparture(deployment, system);
    const goodput = await measureGoodput(deployment, system);
    rows.push({
      system: system.name,
      'worst share error %': formatPercent(nearness.worst),
      'work through departure %': formatPercent(departure.part),
      'late starts': departure.lateStarts,
      ...Object.fromEntries(
        goodput.map(({ factor, part }) => [`goodput ${factor}x %`, formatPercent(part)]),
      ),
      ...departure.audit,
    });
    await system.close();
  }
  process.stdout.write(`\n${deployment.name}, service ${deployment.service}\n`);
  process.stdout.write(formatTable(shares));
  process.stdout.write(formatTable(rows));
}

async function startSystems({ shape, service }: Deployment): Promise<MeasuredSystem[]> {
  const product = new ProductSystem(shape, ENTRY_COUNT, RUN_MS);
  await product.start();
  const baseline = new BaselineSystem();
  await baseline.start(shape, service, ENTRY_COUNT, RUN_MS);
  return [product, baseline];
}

/** Every team asks a part or a multiple of its share; the largest lands on one entry only. */
async function measureNearness(
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
  const largest = [...shape.teams].sort((left, right) => right.share - left.share)[0]?.name;
  const ports = system.listPorts();
  let turn = 0;
  const load = new Load({
    streams: claims.map(({ name, demand }) => createStream(deployment, system, name, demand)),
    durationMs: SHARE_MS,
    seed: SEED,
    choosePort: (stream) => {
      turn += 1;
      return (stream.team === largest ? ports[0] : ports[turn % ports.length]) ?? 0;
    },
  });
  const from = performance.now() + WARM_UP_MS;
  const to = performance.now() + SHARE_MS;
  await load.run();
  const teams = claims.map(({ name }) => {
    const runs = countRuns(system, name, from, to);
    const got = (runs * RUN_MS) / (to - from);
    const wanted = ideal.get(name) ?? 0;
    return {
      system: system.name,
      team: name,
      ideal: wanted,
      got,
      error: Math.abs(got / wanted - 1),
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

/** Work done while a data centre leaves and returns, against what the open slots could do. */
async function measureDeparture(
  deployment: Deployment,
  system: MeasuredSystem,
): Promise<{ part: number; lateStarts: number; audit: TableRow }> {
  const { shape } = deployment;
  const slots = countSlots(deployment);
  const [dataCentre = ''] = shape.dataCentres;
  const document = createDocument(shape, () => '');
  const vms = document.vms.filter(
    (vm) => vm.dataCentre === dataCentre && vm.pool === deployment.service,
  );
  const openSlots = slots - vms.length * SLOTS;
  const offered = openSlots * DEPARTURE_FACTOR;
  const startedAt = performance.now();
  const before = system.log.runs.length;
  const load = createEvenLoad(deployment, system, offered, DEPARTURE_MS);
  const [results, window] = await Promise.all([load.run(), takeOutAndIn(system, dataCentre)]);
  const runs = system.log.runs
    .slice(before)
    .filter((run) => run.startedAt < startedAt + DEPARTURE_MS).length;
  const outSeconds = (window.inAt - window.outAt) / MS_PER_SECOND;
  const inSeconds = DEPARTURE_MS / MS_PER_SECOND - outSeconds;
  const perSlot = MS_PER_SECOND / RUN_MS;
  const ideal =
    perSlot * (Math.min(offered, openSlots) * outSeconds + Math.min(offered, slots) * inSeconds);
  const late = countLateStarts(
    system.log,
    new Set(vms.map((vm) => vm.name)),
    window.outAt + TAKE_OUT_BOUND_MS,
    window.inAt,
  );
  const audit = checkPromises(system.log, results, document);
  return { part: runs / ideal, lateStarts: late, audit: { ...audit } };
}

async function takeOutAndIn(
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

/** Work done at growing offered load, against the lesser of offered load and capacity. */
async function measureGoodput(
  deployment: Deployment,
  system: MeasuredSystem,
): Promise<{ factor: number; part: number }[]> {
  const slots = countSlots(deployment);
  const points: { factor: number; part: number }[] = [];
  for (const factor of GOODPUT_FACTORS) {
    const results = await createEvenLoad(deployment, system, slots * factor, GOODPUT_MS).run();
    const ran = results.reduce((sum, result) => sum + result.ran, 0);
    const sent = results.reduce((sum, result) => sum + result.sent, 0);
    const seconds = (GOODPUT_MS + TIMEOUT_MS) / MS_PER_SECOND;
    const capacity = (slots * MS_PER_SECOND * seconds) / RUN_MS;
    points.push({ factor, part: ran / Math.min(sent, capacity) });
  }
  return points;
}

/** All teams ask in proportion to their shares, spread over all entries. */
function createEvenLoad(
  deployment: Deployment,
  system: MeasuredSystem,
  slots: number,
  durationMs: number,
): Load {
  const { teams } = deployment.shape;
  const shareSum = teams.reduce((sum, team) => sum + team.share, 0);
  const ports = system.listPorts();
  let turn = 0;
  return new Load({
    streams: teams.map((team) =>
      createStream(deployment, system, team.name, (slots * team.share) / shareSum),
    ),
    durationMs,
    seed: SEED,
    choosePort: () => {
      turn += 1;
      return ports[turn % ports.length] ?? 0;
    },
  });
}

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
  return SLOTS * (shape.services.find((one) => one.name === service)?.vms ?? 0);
}

function countRuns(system: MeasuredSystem, team: string, from: number, to: number): number {
  return system.log.runs.filter(
    (run) => run.team === team && run.startedAt >= from && run.startedAt < to,
  ).length;
}

function formatPercent(part: number): string {
  return (part * 100).toFixed(1);
}
