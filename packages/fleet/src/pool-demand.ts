/** One resource of a pool, in its unit (thousandths of a core or megabytes); work is that times ms. */
export interface PoolResource {
  /** In use by tasks that never end. */
  readonly persistent: number;
  /** In use by all other tasks. */
  readonly running: number;
  /** Will be in use if work goes on arriving at the current rate. */
  readonly arriving: number;
  /** Requested by the tasks that wait for room. */
  readonly waiting: number;
  /** Work of tasks that wait for room. */
  readonly waitingWork: number;
  /** Work that the running tasks have left. */
  readonly runningWork: number;
  /** Of the targets that are there. */
  readonly capacity: number;
  /** Of the VMs on the way. */
  readonly incoming: number;
}

/** Times of a pool, in milliseconds. */
export interface PoolTimes {
  /** From the decision to add a VM until its target runs tasks. */
  readonly bringUpMs: number;
  /** For which the work of the pool may wait for room and still meet its latency objective. */
  readonly slackMs: number;
}

/** Part of a target's capacity that tasks of mixed sizes fill. */
const PACKING = 0.85;
/** Part of the slack of the callers for which work may wait in a pool that keeps up. */
const TOLERATED_WAIT = 0.25;
/** Shortest time within which a backlog is to be worked off, in milliseconds. */
const MINIMUM_DRAIN_MS = 2_000;

/**
 * Computes how much of a resource a pool needs: for the load that arrives, and for the backlog that is
 * left when VMs ordered now have come.
 *
 * Answers a load that rises within a moment and ends after some seconds. What waits while VMs are on
 * the way does not call for more of them, nor does work that can wait and still end in time; or the
 * pool takes those that the next pool needs.
 */
export function computeRequiredAmount(resource: PoolResource, times: PoolTimes): number {
  const { persistent, running, arriving, capacity, incoming } = resource;
  const { bringUpMs, slackMs } = times;
  const workDone =
    PACKING * (Math.max(0, capacity - persistent) * bringUpMs + (incoming * bringUpMs) / 2);
  const workLeft = resource.waitingWork + resource.runningWork + arriving * bringUpMs - workDone;
  const backlog = Math.max(0, workLeft - arriving * TOLERATED_WAIT * slackMs);
  const flow = arriving + backlog / Math.max(MINIMUM_DRAIN_MS, slackMs);
  // Work that cannot wait until VMs have come needs room for all of it at once.
  const atOnce = slackMs < bringUpMs ? running + resource.waiting : running;
  return persistent + Math.max(atOnce, flow / PACKING);
}

/**
 * Lists the pools whose load may rise next: the half whose last turn lies longest back. Demand that
 * turns from pool to pool comes to those last that had it last. `turnsEndedAt` names all pools, with
 * the time at which each was last loaded; -Infinity if it never was.
 */
export function listNextPools(turnsEndedAt: ReadonlyMap<string, number>): ReadonlySet<string> {
  const times = [...turnsEndedAt.values()];
  const next = new Set<string>();
  for (const [pool, endedAt] of turnsEndedAt) {
    const earlier = times.filter((time) => time < endedAt).length;
    if (earlier < times.length / 2) next.add(pool);
  }
  return next;
}

/**
 * Computes the part of the height of a pool's load for which room must stand before the load rises:
 * for the work that cannot wait until VMs have come.
 */
export function computeStandingShare({ bringUpMs, slackMs }: PoolTimes): number {
  return bringUpMs > 0 ? Math.max(0, 1 - slackMs / bringUpMs) : 0;
}
