import { formatTable, type TableRow } from '@currantgap/cli';
import { Caller, Fleet, MANTOJUMA, TargetServer } from '@currantgap/standins';
import { build as buildHistogram } from 'hdr-histogram-js';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { PRODUCT_COMMAND } from './command.ts';

const WIDTH = 32;
const MEASURE_MS = 5_000;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const TARGETS = 8;

interface Measured {
  readonly perSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Compares one entry with a bare pass-through over Node's `http`, at full and at half load. */
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
  const part = entry.full.perSecond / bare.full.perSecond;
  const added = entry.half.p99Ms - bare.half.p99Ms;
  process.stdout.write(`throughput ${(part * 100).toFixed(0)}% of bare (target 70%), `);
  process.stdout.write(`p99 at half load ${added.toFixed(2)} ms more (target 1 ms)\n`);
  process.stdout.write(
    `idle entry: ready in ${entry.startMs.toFixed(0)} ms, ${entry.residentMb} MB\n`,
  );
}

async function measureBare(): Promise<{ full: Measured; half: Measured }> {
  const targets = await Promise.all(
    Array.from({ length: TARGETS }, async () => new TargetServer({ runMs: 0 }).listen()),
  );
  const script = fileURLToPath(new URL('./bare-relay.ts', import.meta.url));
  const child = spawn(process.execPath, ['--import', 'tsx', script, ...targets], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const [line] = (await once(child.stdout, 'data')) as [Buffer];
  const result = await measureBoth(Number(line.toString()), undefined);
  child.kill();
  return result;
}

async function measureEntry(): Promise<{
  full: Measured;
  half: Measured;
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
  const result = await measureBoth(fleet.getEntry(0).callerPort, fleet.keys.get('kurzeme'));
  await fleet.close();
  return { ...result, startMs, residentMb: (resident / 2 ** 20).toFixed(0) };
}

async function measureBoth(
  port: number,
  key: string | undefined,
): Promise<{ full: Measured; half: Measured }> {
  await measure(port, key, undefined);
  const full = await measure(port, key, undefined);
  const half = await measure(port, key, full.perSecond / 2);
  return { full, half };
}

/** Sends as fast as answers come, or at a rate when one is given. */
async function measure(
  port: number,
  key: string | undefined,
  rate: number | undefined,
): Promise<Measured> {
  const caller = new Caller();
  const histogram = buildHistogram();
  const startedAt = performance.now();
  const gapMs = rate === undefined ? 0 : (WIDTH * MS_PER_SECOND) / rate;
  let count = 0;
  const run = async (lane: number): Promise<void> => {
    let dueAt = startedAt + (gapMs * lane) / WIDTH;
    while (performance.now() - startedAt < MEASURE_MS) {
      const waitMs = dueAt - performance.now();
      if (gapMs > 0 && waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs));
      dueAt += gapMs;
      const answer = await caller.send({
        port,
        path: '/velves/work',
        body: 'payload',
        ...(key === undefined ? {} : { key }),
      });
      if (answer.status !== 200) throw new Error(`status ${answer.status}: ${answer.body}`);
      histogram.recordValue(Math.max(1, Math.round(answer.totalMs * MICROSECONDS_PER_MS)));
      count += 1;
    }
  };
  await Promise.all(Array.from({ length: WIDTH }, async (_, lane) => run(lane)));
  caller.close();
  return {
    perSecond: (count * MS_PER_SECOND) / (performance.now() - startedAt),
    p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
  };
}

function format(measured: Measured): TableRow {
  return {
    'requests/s': measured.perSecond.toFixed(0),
    'p50 ms': measured.p50Ms.toFixed(2),
    'p99 ms': measured.p99Ms.toFixed(2),
  };
}
