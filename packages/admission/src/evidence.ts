import type { Resources } from '@currantgap/model';
import { err, ok, type Result } from 'neverthrow';

/** Steps of `growth` per unit on the wire. */
const GROWTH_PRECISION = 100;

/** Time until new work of a priority could start, behind work of this or a better priority. */
export interface PriorityWait {
  readonly priority: number;
  readonly waitMs: number;
  /** Milliseconds of work that arrived in each millisecond while the most was admitted lately. */
  readonly growth: number;
}

/** What a team has to wait for in one pool. */
export interface TeamWait {
  readonly team: string;
  /** Whether the team holds and waits for more than its share of the pool. */
  readonly isBeyondShare: boolean;
  /** Waits in ascending order of priority. */
  readonly waits: readonly PriorityWait[];
}

/** Waits in a contended pool; teams that are left out do not wait. */
export interface PoolEvidence {
  readonly service: string;
  readonly teams: readonly TeamWait[];
}

/** What the owner tells all nodes about contention. */
export interface AdmissionEvidence {
  /** Epoch of the owner's term. */
  readonly epoch: number;
  /** Largest amount of each resource that a single VM of the fleet has. */
  readonly largestTask: Resources;
  /** Contended pools. */
  readonly pools: readonly PoolEvidence[];
  /** Owner's monotonic time of the computation in milliseconds; absent from earlier versions. */
  readonly computedAt?: number;
}

/** Encodes evidence as rows, since every node receives it several times a second. */
export function encodeEvidence(evidence: AdmissionEvidence): unknown {
  const { epoch, largestTask, pools, computedAt } = evidence;
  return {
    epoch,
    ...(computedAt === undefined ? {} : { at: Math.round(computedAt) }),
    largest: [largestTask.cpuMillis, largestTask.memoryMb, largestTask.gpus],
    pools: pools.map(({ service, teams }) => [
      service,
      teams.map(({ team, isBeyondShare, waits }) => [
        team,
        isBeyondShare ? 1 : 0,
        waits.map(({ priority, waitMs, growth }) => [
          priority,
          Math.round(waitMs),
          Math.round(growth * GROWTH_PRECISION) / GROWTH_PRECISION,
        ]),
      ]),
    ]),
  };
}

/** Decodes evidence; the error says which part is malformed. */
export function decodeEvidence(value: unknown): Result<AdmissionEvidence, string> {
  if (typeof value !== 'object' || value === null) return err('it is no object');
  const { epoch, largest, pools, at } = value as Record<string, unknown>;
  if (!isAmount(epoch)) return err('it has no epoch');
  if (at !== undefined && !isAmount(at)) return err('its time is malformed');
  const amounts = decodeRow(largest, 3);
  if (amounts?.every(isAmount) !== true) return err('it has no largest task');
  const [cpuMillis = 0, memoryMb = 0, gpus = 0] = amounts as number[];
  const decoded = decodeRows(pools, decodePool);
  if (decoded === undefined) return err('a pool is malformed');
  const largestTask = { cpuMillis, memoryMb, gpus };
  const time = at === undefined ? {} : { computedAt: at };
  return ok({ epoch, largestTask, pools: decoded, ...time });
}

function decodePool(value: unknown): PoolEvidence | undefined {
  const [service, rows] = decodeRow(value, 2) ?? [];
  const teams = decodeRows(rows, decodeTeam);
  return typeof service === 'string' && teams !== undefined ? { service, teams } : undefined;
}

function decodeTeam(value: unknown): TeamWait | undefined {
  const [team, isBeyondShare, rows] = decodeRow(value, 3) ?? [];
  const waits = decodeRows(rows, decodeWait);
  if (typeof team !== 'string' || waits === undefined) return undefined;
  if (isBeyondShare !== 0 && isBeyondShare !== 1) return undefined;
  return { team, isBeyondShare: isBeyondShare === 1, waits };
}

function decodeWait(value: unknown): PriorityWait | undefined {
  const [priority, waitMs, growth] = decodeRow(value, 3) ?? [];
  if (!isAmount(priority) || !isAmount(waitMs) || !isAmount(growth)) return undefined;
  return { priority, waitMs, growth };
}

function decodeRow(value: unknown, length: number): readonly unknown[] | undefined {
  return Array.isArray(value) && value.length === length ? (value as unknown[]) : undefined;
}

/** Decodes each row; undefined if one is malformed. */
function decodeRows<T>(
  value: unknown,
  decode: (row: unknown) => T | undefined,
): readonly T[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const rows: T[] = [];
  for (const item of value as unknown[]) {
    const row = decode(item);
    if (row === undefined) return undefined;
    rows.push(row);
  }
  return rows;
}

function isAmount(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
