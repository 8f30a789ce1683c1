import { computeLongestWaitMs } from './backlog.ts';
import type { PoolEvidence } from './evidence.ts';

/** Milliseconds between two publications while a pool is contended. */
export const PUBLISH_PERIOD_MS = 250;
/** Part of the wait at which contention begins below which it ends. */
const END_PART = 0.5;

/** A pool's waits and the wait that its callers can bear. */
export interface PoolPressure {
  readonly evidence: PoolEvidence;
  /** Shortest constant part of the latency objectives of the pool's routes, in milliseconds. */
  readonly tolerableWaitMs: number;
}

/** What a change of contention means for publication. */
export interface ContentionChange {
  /** Contended pools, with the teams that wait or are beyond their share. */
  readonly pools: readonly PoolEvidence[];
  /** Services whose pool is contended since this call. */
  readonly begun: readonly string[];
  /** Services whose pool is contended no longer. */
  readonly ended: readonly string[];
}

/** Tracks which pools are contended; contention ends at a shorter wait than it begins. */
export class ContentionTracker {
  readonly #contended = new Set<string>();

  /** Applies the current waits; undefined if no pool is or was contended. */
  update(pools: readonly PoolPressure[]): ContentionChange | undefined {
    const previous = new Set(this.#contended);
    this.#contended.clear();
    for (const { evidence, tolerableWaitMs } of pools) {
      const { service } = evidence;
      const limitMs = previous.has(service) ? END_PART * tolerableWaitMs : tolerableWaitMs;
      if (computeLongestWaitMs(evidence) > limitMs) this.#contended.add(service);
    }
    if (this.#contended.size === 0 && previous.size === 0) return undefined;
    return {
      pools: pools.flatMap(({ evidence }) =>
        this.#contended.has(evidence.service) ? [chooseWaiting(evidence)] : [],
      ),
      begun: [...this.#contended].filter((service) => !previous.has(service)),
      ended: [...previous].filter((service) => !this.#contended.has(service)),
    };
  }
}

function chooseWaiting({ service, teams }: PoolEvidence): PoolEvidence {
  const selected = teams.filter(
    ({ isBeyondShare, waits }) => isBeyondShare || waits.some(({ waitMs }) => waitMs > 0),
  );
  return { service, teams: selected };
}
