import { formatTable, type TableRow } from '@currantgap/cli';
import { Fleet, MANTOJUMA, TargetServer } from '@currantgap/standins';
import { build as buildHistogram } from 'hdr-histogram-js';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import type { RelayLoadOptions, RelayLoadResult } from './relay-load.ts';
import { PRODUCT_COMMAND } from './command.ts';

/** Requests in flight, over all load processes. */
const CONCURRENCY = 32;
const PROCESSES = 2;
const MEASURE_MS = 5_000;
const MICROSECONDS_PER_MS = 1_000;
const TARGETS = 8;

interface RelayMeasurement {
  readonly perSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Compares one entry with a bare proxy over Node's `http`, at full and at half load. */
export async function runRelayBench(): Promise<void> {
  const bare = await measureBare();
  const entry = await measureEntry();
  const rows: TableRow[] = [
    { relay: 'bare http, full load', ...format(bare.full) },
    { relay: 'entry, full load', ...format(entry.full) },
    { relay: 'bare http, half load', ...format(bare.half) },
    { relay: 'entry, half load', ...format(entry.half) },
  ];
  process.stdout.write(formatTable(rows));
  const ratio = entry.full.perSecond / bare.full.perSecond;
  const addedMs = entry.half.p99Ms - bare.half.p99Ms;
  process.stdout.write(`throughput ${(ratio * 100).toFixed(0)}% of bare (target 70%), `);
  process.stdout.write(`p99 at half load ${addedMs.toFixed(2)} ms more (target 1 ms)\n`);
  process.stdout.write(
    `idle entry: ready in ${entry.startMs.toFixed(0)} ms, ${entry.residentMb} MB\n`,
  );
}

async function measureBare(): Promise<{ full: RelayMeasurement; half: RelayMeasurement }> {
  const targets = await Promise.all(
    Array.from({ length: TARGETS }, async () => new TargetServer({ runMs: 0 }).listen()),
  );
  const script = fileURLToPath(new URL('./bare-relay.ts', import.meta.url));
  const child = spawn(process.execPath, ['--import', 'tsx', script, ...targets], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const [line] = (await once(child.stdout, 'data')) as [Buffer];
  const result = await measureLoads(Number(line.toString()), undefined);
  child.kill();
  return result;
}

async function measureEntry(): Promise<{
  full: RelayMeasurement;
  half: RelayMeasurement;
  startMs: number;
  residentMb: string;
}> {
  const fleet = new Fleet({
    shape: {
      ...MANTOJUMA,
      teams: [
        { name: 'kurzeme', share: 1, limit: 200 },
        { name: 'open', share: 1, limit: 8 },
      ],
    },
    entryCount: 1,
    command: PRODUCT_COMMAND,
    runMs: 0,
  });
  const startedAt = performance.now();
  await fleet.start();
  const startMs = performance.now() - startedAt;
  const metrics = await fleet.getEntry(0).getText('/metrics');
  const resident = Number(/^process_resident_memory_bytes (\S+)/m.exec(metrics)?.[1] ?? 0);
  const result = await measureLoads(fleet.getEntry(0).callerPort, fleet.keys.get('kurzeme'));
  await fleet.close();
  return { ...result, startMs, residentMb: (resident / 2 ** 20).toFixed(0) };
}

/** Measures at full load and at half of that throughput, after a run that warms the relay up. */
async function measureLoads(
  port: number,
  key: string | undefined,
): Promise<{ full: RelayMeasurement; half: RelayMeasurement }> {
  await measure(port, key, undefined);
  const full = await measure(port, key, undefined);
  const half = await measure(port, key, full.perSecond / 2);
  return { full, half };
}

/** Sends the load from separate processes, so that the relay is what limits the throughput. */
async function measure(
  port: number,
  key: string | undefined,
  rate: number | undefined,
): Promise<RelayMeasurement> {
  const options: RelayLoadOptions = {
    port,
    key,
    rate: rate === undefined ? undefined : rate / PROCESSES,
    concurrency: CONCURRENCY / PROCESSES,
    durationMs: MEASURE_MS,
  };
  const results = await Promise.all(
    Array.from({ length: PROCESSES }, async () => runProcess(options)),
  );
  const histogram = buildHistogram();
  for (const micros of results.flatMap((result) => result.totalMicros))
    histogram.recordValue(micros);
  return {
    perSecond: results.reduce((sum, result) => sum + result.perSecond, 0),
    p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
  };
}

async function runProcess(options: RelayLoadOptions): Promise<RelayLoadResult> {
  const script = fileURLToPath(new URL('./relay-load.ts', import.meta.url));
  const child = spawn(process.execPath, ['--import', 'tsx', script, JSON.stringify(options)], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const chunks: Buffer[] = [];
  child.stdout.on('data', (chunk: Buffer) => chunks.push(chunk));
  await once(child, 'close');
  return JSON.parse(Buffer.concat(chunks).toString('utf8')) as RelayLoadResult;
}

function format(measurement: RelayMeasurement): TableRow {
  return {
    'requests/s': measurement.perSecond.toFixed(0),
    'p50 ms': measurement.p50Ms.toFixed(2),
    'p99 ms': measurement.p99Ms.toFixed(2),
  };
}
