import type { PoolEvidence } from './evidence.ts';

/** Publications over which the highest growth counts: nodes admit only in a part of each period. */
const WINDOW_PERIODS = 4;

/**
 * Remembers how fast the waits of each pool grew lately. While nodes refuse, the owner does not see
 * the work that is offered, only what arrived while they admitted it.
 */
export class GrowthMeter {
  readonly #recent = new Map<string, readonly number[]>();

  /** Records the growth of one period, and replaces it by the highest of the window. */
  apply({ service, teams }: PoolEvidence): PoolEvidence {
    return {
      service,
      teams: teams.map((entry) => ({
        ...entry,
        waits: entry.waits.map((wait) => {
          const key = JSON.stringify([service, entry.team, wait.priority]);
          const recent = [wait.growth, ...(this.#recent.get(key) ?? [])].slice(0, WINDOW_PERIODS);
          this.#recent.set(key, recent);
          return { ...wait, growth: Math.max(...recent) };
        }),
      })),
    };
  }
}
