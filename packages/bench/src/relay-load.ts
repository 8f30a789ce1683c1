import { Caller } from '@currantgap/standins';

/** What a process of the relay bench is to send. */
export interface RelayLoadOrder {
  readonly port: number;
  readonly key?: string | undefined;
  /** Requests a second; as fast as answers come when undefined. */
  readonly rate?: number | undefined;
  /** Requests under way at once. */
  readonly width: number;
  readonly durationMs: number;
}

/** What a process of the relay bench has measured. */
export interface RelayLoadAnswer {
  readonly perSecond: number;
  /** Microseconds from sending to the answer, one number a request. */
  readonly totalMicros: readonly number[];
}

const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const OK = 200;

async function send({
  port,
  key,
  rate,
  width,
  durationMs,
}: RelayLoadOrder): Promise<RelayLoadAnswer> {
  const caller = new Caller();
  const totalMicros: number[] = [];
  const startedAt = performance.now();
  const gapMs = rate === undefined ? 0 : (width * MS_PER_SECOND) / rate;
  const run = async (lane: number): Promise<void> => {
    let dueAt = startedAt + (gapMs * lane) / width;
    while (performance.now() - startedAt < durationMs) {
      const waitMs = dueAt - performance.now();
      if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs));
      dueAt += gapMs;
      const answer = await caller.send({
        port,
        path: '/velves/work',
        body: 'payload',
        ...(key === undefined ? {} : { key }),
      });
      if (answer.status !== OK) throw new Error(`status ${answer.status}: ${answer.body}`);
      totalMicros.push(Math.max(1, Math.round(answer.totalMs * MICROSECONDS_PER_MS)));
    }
  };
  await Promise.all(Array.from({ length: width }, async (_, lane) => run(lane)));
  caller.close();
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  return { perSecond: totalMicros.length / seconds, totalMicros };
}

const order = JSON.parse(process.argv[2] ?? '') as RelayLoadOrder;
process.stdout.write(JSON.stringify(await send(order)));
