/**
 * Load generator process of the relay benchmark. Its first argument is a `RelayLoadOptions` as
 * JSON. It prints a `RelayLoadResult` as JSON.
 */
import { Caller } from '@currantgap/standins';

/** Options of a load generator process. */
export interface RelayLoadOptions {
  readonly port: number;
  /** Access key; none if undefined. */
  readonly key?: string | undefined;
  /** Requests per second; if undefined, each worker sends as soon as it has an answer. */
  readonly rate?: number | undefined;
  /** Requests in flight. */
  readonly concurrency: number;
  readonly durationMs: number;
}

/** Measurements of a load generator process. */
export interface RelayLoadResult {
  /** Throughput in requests per second. */
  readonly perSecond: number;
  /** Latency of each request in microseconds. */
  readonly totalMicros: readonly number[];
}

const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const OK = 200;

async function send({
  port,
  key,
  rate,
  concurrency,
  durationMs,
}: RelayLoadOptions): Promise<RelayLoadResult> {
  const caller = new Caller();
  const totalMicros: number[] = [];
  const startedAt = performance.now();
  const intervalMs = rate === undefined ? 0 : (concurrency * MS_PER_SECOND) / rate;
  const run = async (worker: number): Promise<void> => {
    let dueAt = startedAt + (intervalMs * worker) / concurrency;
    while (performance.now() - startedAt < durationMs) {
      const waitMs = dueAt - performance.now();
      if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs));
      dueAt += intervalMs;
      const answer = await caller.send({
        port,
        path: '/velves/work',
        body: 'payload',
        ...(key === undefined ? {} : { key }),
      });
      if (answer.status !== OK)
        throw new Error(`request failed with status ${answer.status}: ${answer.body}`);
      totalMicros.push(Math.max(1, Math.round(answer.totalMs * MICROSECONDS_PER_MS)));
    }
  };
  await Promise.all(Array.from({ length: concurrency }, async (_, worker) => run(worker)));
  caller.close();
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  return { perSecond: totalMicros.length / seconds, totalMicros };
}

const options = JSON.parse(process.argv[2] ?? '') as RelayLoadOptions;
process.stdout.write(JSON.stringify(await send(options)));
