import type { Resources } from '@currantgap/model';
import { computeDominantShare, computeTeamShares, type TeamUsage } from '@currantgap/sharing';
import type { PoolEvidence, PriorityWait, TeamWait } from './evidence.ts';

const RESOURCE_NAMES = ['cpuMillis', 'memoryMb', 'gpus'] as const;
/** Tolerance within which two shares count as equal. */
const SHARE_TOLERANCE = 1e-6;
/** Part of its share that a team counts as having for timed work, whatever its persistent tasks hold. */
const MINIMUM_RATE_PART = 0.1;

/** Work that waits, of one team and priority, in units of each resource times milliseconds. */
export interface WaitingWork {
  readonly priority: number;
  readonly work: Resources;
  /** Work that arrived in each millisecond of the last period. */
  readonly arriving: Resources;
}

/** Load of one team on a pool. */
export interface TeamLoad extends TeamUsage {
  /** Part of `held` that persistent tasks hold. */
  readonly persistent: Resources;
  /** Work that new work of the same or a worse priority waits for. */
  readonly work: readonly WaitingWork[];
}

/** Load and capacity of one pool. */
export interface PoolState {
  readonly service: string;
  readonly capacity: Resources;
  /** Capacity that the fleet can bring into the pool. */
  readonly extra: Resources;
  /** Milliseconds after which `extra` is there. */
  readonly extraAfterMs: number;
  readonly teams: readonly TeamLoad[];
}

/** Computes for each team how long new work waits until it could start. */
export function computePoolWaits(pool: PoolState): PoolEvidence {
  const total = addResources(pool.capacity, pool.extra);
  const shares = computeTeamShares(total, pool.teams);
  const teams = pool.teams.map((load): TeamWait => {
    const demand = computeDominantShare(total, addResources(load.held, load.waiting));
    const owed = shares.get(load.team)?.owed ?? 0;
    const entitled = computeEntitlement(total, pool.teams, load.team);
    return {
      team: load.team,
      isBeyondShare: demand > owed + SHARE_TOLERANCE,
      waits: hasRoomForAll(pool) ? [] : computeWaits(pool, load, entitled),
    };
  });
  return { service: pool.service, teams };
}

/** Computes the longest wait of any team in milliseconds. */
export function computeLongestWaitMs({ teams }: PoolEvidence): number {
  return Math.max(0, ...teams.flatMap(({ waits }) => waits.map(({ waitMs }) => waitMs)));
}

/** Whether everything that could run now fits, so that nothing has to wait. */
function hasRoomForAll({ capacity, teams }: PoolState): boolean {
  return RESOURCE_NAMES.every((name) => {
    const requested = teams.reduce((sum, load) => sum + load.held[name] + load.waiting[name], 0);
    return requested <= capacity[name];
  });
}

/** Computes the share that a team gets if it asks for the whole pool. */
function computeEntitlement(total: Resources, teams: readonly TeamLoad[], team: string): number {
  const usages = teams.map((load) => (load.team === team ? { ...load, waiting: total } : load));
  return computeTeamShares(total, usages).get(team)?.owed ?? 0;
}

/** Computes the wait for each priority: the work of this and of better priorities goes first. */
function computeWaits(pool: PoolState, load: TeamLoad, entitled: number): PriorityWait[] {
  const sorted = [...load.work].sort((left, right) => left.priority - right.priority);
  let ahead: Resources = { cpuMillis: 0, memoryMb: 0, gpus: 0 };
  let arriving = ahead;
  return sorted.map((entry) => {
    ahead = addResources(ahead, entry.work);
    arriving = addResources(arriving, entry.arriving);
    let waitMs = 0;
    let growth = 0;
    for (const name of RESOURCE_NAMES) {
      const now = computeRate(entitled * pool.capacity[name], load.persistent[name]);
      const later = computeRate(
        entitled * (pool.capacity[name] + pool.extra[name]),
        load.persistent[name],
      );
      const drainMs = computeDrainMs(ahead[name], { now, later, laterAfterMs: pool.extraAfterMs });
      waitMs = Math.max(waitMs, drainMs);
      if (later > 0) growth = Math.max(growth, arriving[name] / later);
    }
    return { priority: entry.priority, waitMs, growth };
  });
}

function computeRate(share: number, persistent: number): number {
  return Math.max(share - persistent, MINIMUM_RATE_PART * share);
}

/** Computes how long work takes at a rate that changes once; without any rate, it counts as none. */
function computeDrainMs(
  work: number,
  rate: { readonly now: number; readonly later: number; readonly laterAfterMs: number },
): number {
  const doneBefore = rate.now * rate.laterAfterMs;
  if (work <= doneBefore && rate.now > 0) return work / rate.now;
  if (rate.later <= 0) return 0;
  return work <= 0 ? 0 : rate.laterAfterMs + (work - doneBefore) / rate.later;
}

function addResources(left: Resources, right: Resources): Resources {
  return {
    cpuMillis: left.cpuMillis + right.cpuMillis,
    memoryMb: left.memoryMb + right.memoryMb,
    gpus: left.gpus + right.gpus,
  };
}
