import { formatTable, type TableRow } from '@currantgap/cli';
import { Fleet, type DeploymentShape } from '@currantgap/standins';
import { PRODUCT_COMMAND } from './command.ts';
import { measureChangeTime } from './change-time.ts';
import { measureStrandedLimit } from './stranded.ts';
import { wait } from './wait.ts';

const WARM_UP_MS = 10_000;
const MEASURE_MS = 10_000;
const MS_PER_SECOND = 1_000;
const MAXIMUM_RUN_MS = 5_000;
const BYTES_PER_MB = 2 ** 20;

interface Size {
  readonly name: string;
  readonly entries: number;
  readonly pools: number;
  readonly teams: number;
  readonly vms: number;
}

const SIZES: readonly Size[] = [
  { name: 'today', entries: 6, pools: 5, teams: 6, vms: 40 },
  { name: 'half', entries: 6, pools: 16, teams: 90, vms: 320 },
  { name: 'target', entries: 6, pools: 33, teams: 180, vms: 640 },
];

/** Measures the control overhead of an idle entry at growing sizes of the deployment. */
export async function runControlBench(): Promise<void> {
  const rows: TableRow[] = [];
  for (const size of SIZES) rows.push(await measureSize(size));
  process.stdout.write('control cost per entry (targets: 1.5% of a core, 128 MB, 4 KB/s)\n');
  process.stdout.write(formatTable(rows));
  process.stdout.write(formatTable(await measureStrandedLimit()));
}

async function measureSize(size: Size): Promise<TableRow> {
  const shape = createShape(size);
  const fleet = new Fleet({ shape, entryCount: size.entries, command: PRODUCT_COMMAND });
  try {
    await fleet.start();
    await wait(WARM_UP_MS);
    const before = await readUsage(fleet);
    await wait(MEASURE_MS);
    const after = await readUsage(fleet);
    const change = await measureChangeTime(fleet);
    return {
      size: size.name,
      entries: size.entries,
      pools: size.pools,
      teams: size.teams,
      vms: size.vms,
      'core %': formatNumber(
        (100 * (after.cpuSeconds - before.cpuSeconds)) / (MEASURE_MS / MS_PER_SECOND),
      ),
      'heap MB': formatNumber(after.heapBytes / BYTES_PER_MB),
      'resident MB': formatNumber(after.residentBytes / BYTES_PER_MB),
      'bytes/s': formatNumber((after.bytes - before.bytes) / (MEASURE_MS / MS_PER_SECOND)),
      'change in force ms p50': formatNumber(change.medianMs),
      'max ms': formatNumber(change.maximumMs),
    };
  } finally {
    await fleet.close();
  }
}

interface Usage {
  readonly cpuSeconds: number;
  readonly heapBytes: number;
  readonly residentBytes: number;
  /** Bytes of control traffic since the start of the entry. */
  readonly bytes: number;
}

/** Reads the mean usage of the entries from their metrics. */
async function readUsage(fleet: Fleet): Promise<Usage> {
  const texts = await Promise.all(fleet.entries.map(async (entry) => entry.getText('/metrics')));
  const getMean = (name: string): number =>
    texts.reduce((sum, text) => sum + readMetric(text, name), 0) / texts.length;
  return {
    cpuSeconds: getMean('process_cpu_seconds_total'),
    heapBytes: getMean('nodejs_heap_size_used_bytes'),
    residentBytes: getMean('process_resident_memory_bytes'),
    bytes: getMean('currantgap_control_bytes'),
  };
}

function readMetric(text: string, name: string): number {
  return Number(new RegExp(`^${name} (\\S+)`, 'm').exec(text)?.[1] ?? NaN);
}

/** Creates a deployment of a size. Every third team has a limit of 60, the others have 30. */
function createShape(size: Size): DeploymentShape {
  const vmsPerPool = Math.floor(size.vms / size.pools);
  const remainder = size.vms - vmsPerPool * size.pools;
  return {
    region: 'region',
    dataCentres: ['dc-1', 'dc-2', 'dc-3', 'dc-4', 'dc-5', 'dc-6', 'dc-7'],
    services: Array.from({ length: size.pools }, (_, index) => ({
      name: `service-${index}`,
      vms: vmsPerPool + (index < remainder ? 1 : 0),
    })),
    teams: Array.from({ length: size.teams }, (_, index) => ({
      name: `team-${index}`,
      share: 1 + (index % 4),
      limit: index % 3 === 0 ? 60 : 30,
    })),
    rackSize: 4,
    maximumRunMs: MAXIMUM_RUN_MS,
  };
}

function formatNumber(value: number): string {
  return value.toFixed(value < 10 ? 2 : 0);
}
