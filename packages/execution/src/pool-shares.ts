import { Feature, type Configuration, type Resources } from '@currantgap/model';
import { getFootprint, hasRoom, ResourceSum, RoomCheck } from '@currantgap/scheduling';
import {
  computeTeamShares,
  ShareOrder,
  UrgencyOrder,
  type PlacementOrder,
  type ShareCandidate,
  type TeamShare,
  type TeamUsage,
} from '@currantgap/sharing';
import type { OwnerContext } from './context.ts';
import type { TargetRecord } from './target-record.ts';

/** Weight of a team that the configuration in force does not name. */
const DEFAULT_WEIGHT = 1;
/** Moves of VMs, one after the other, in which a pool gets the VMs that others can spare. */
const MOVES_TO_RELIEF = 2;
/** Milliseconds that a VM takes to move between pools if the settings don't say. */
const DEFAULT_MOVE_MS = 1_500;
/** Milliseconds without contention after which a pool counts as no longer contended. */
const CALM_MS = 1_000;
/** Most teams in a log line. */
const LOGGED_TEAMS = 20;

/** A step with tasks to place, of which a pass lists some. */
export interface WaitingStep extends ShareCandidate {
  /** Number of tasks that wait, listed or not. */
  readonly waitingCount: number;
}

/** What a pass found in a contended pool. */
interface Contention {
  lastSeenAt: number;
  readonly since: number;
  usages: () => { capacity: Resources; teams: readonly TeamUsage[] };
}

/** Orders the waiting steps of each pool, by the shares of their teams while room is short. */
export class PoolShares {
  readonly #context: OwnerContext;
  readonly #contended = new Map<string, Contention>();
  #configuration: Configuration | undefined;
  #weights: ReadonlyMap<string, number> = new Map();

  constructor(context: OwnerContext) {
    this.#context = context;
  }

  /** Builds the order for one pass over the steps of a pool, whose open targets are `open`. */
  buildOrder<T extends WaitingStep>(
    service: string,
    candidates: readonly T[],
    open: readonly TargetRecord[],
  ): PlacementOrder<T> {
    if (open.length === 0 || !isContended(candidates, open)) return new UrgencyOrder(candidates);
    const pool = this.#context.fleet.listPool(service);
    const capacity = computeCapacity(pool);
    const held = computeHeld(pool);
    this.#recordContention(service, () => ({
      capacity,
      teams: this.#listUsages(held, candidates),
    }));
    if (!this.isShort(service)) return new UrgencyOrder(candidates);
    const getWeight = (team: string): number => this.#getWeight(team);
    return new ShareOrder({ capacity, held, getWeight, candidates });
  }

  /** Whether a pool has been contended for longer than VMs take to come to it. */
  isShort(service: string): boolean {
    const { clock, bounds } = this.#context;
    const contention = this.#contended.get(service);
    if (contention === undefined || bounds.disabledFeatures?.has(Feature.Shares)) return false;
    const relievedAt = contention.since + MOVES_TO_RELIEF * (bounds.moveMs ?? DEFAULT_MOVE_MS);
    return clock.now >= relievedAt;
  }

  /** Computes the shares of the teams in each contended pool, as the last pass found them. */
  computeShares(): Map<string, ReadonlyMap<string, TeamShare>> {
    const shares = new Map<string, ReadonlyMap<string, TeamShare>>();
    for (const [service, { usages }] of this.#contended) {
      const { capacity, teams } = usages();
      shares.set(service, computeTeamShares(capacity, teams));
    }
    return shares;
  }

  /** Ends the contention of the pools that have had room for all waiting work for a while. */
  sweep(): void {
    const { now } = this.#context.clock;
    for (const [service, contention] of this.#contended) {
      if (now < contention.lastSeenAt + CALM_MS) continue;
      this.#writeShares('pool no longer contended', service, contention);
      this.#contended.delete(service);
    }
  }

  #recordContention(service: string, usages: Contention['usages']): void {
    const { now } = this.#context.clock;
    const known = this.#contended.get(service);
    if (known !== undefined) {
      known.lastSeenAt = now;
      known.usages = usages;
      return;
    }
    const contention = { since: now, lastSeenAt: now, usages };
    this.#contended.set(service, contention);
    this.#writeShares('pool contended', service, contention);
  }

  #writeShares(message: string, service: string, { since, lastSeenAt, usages }: Contention): void {
    const { capacity, teams } = usages();
    const shares = [...computeTeamShares(capacity, teams)];
    this.#context.logger.writeInfo(message, {
      service,
      lastedMs: Math.round(lastSeenAt - since),
      teams: shares.length,
      shares: shares
        .slice(0, LOGGED_TEAMS)
        .map(
          ([team, { held, owed }]) =>
            `${team === '' ? '-' : team} ${held.toFixed(3)}/${owed.toFixed(3)}`,
        )
        .join(' '),
    });
  }

  #listUsages(
    held: ReadonlyMap<string, ResourceSum>,
    candidates: readonly WaitingStep[],
  ): TeamUsage[] {
    const waiting = new Map<string, ResourceSum>();
    for (const { team, footprint, waitingCount } of candidates)
      addTo(waiting, team, footprint, waitingCount);
    return [...new Set([...held.keys(), ...waiting.keys()])].map((team) => ({
      team,
      weight: this.#getWeight(team),
      held: held.get(team) ?? new ResourceSum(),
      waiting: waiting.get(team) ?? new ResourceSum(),
    }));
  }

  #getWeight(team: string): number {
    const { configuration } = this.#context.getOperatorView();
    if (configuration !== this.#configuration) {
      this.#configuration = configuration;
      this.#weights = new Map(configuration?.teams.map(({ name, weight }) => [name, weight]));
    }
    return this.#weights.get(team) ?? DEFAULT_WEIGHT;
  }
}

/**
 * Whether the waiting tasks request more of some resource than the open targets have free. Tasks that
 * fit on none of them, even if it is empty, don't count.
 */
function isContended(candidates: readonly WaitingStep[], open: readonly TargetRecord[]): boolean {
  const requested = new ResourceSum();
  const nothing = new ResourceSum();
  const empty = new RoomCheck(open.map(({ capacity }) => ({ capacity, used: nothing })));
  for (const { footprint, waitingCount } of candidates)
    if (empty.hasRoom(footprint)) requested.add(footprint, waitingCount);
  const capacity = computeCapacity(open);
  const used = new ResourceSum();
  for (const target of open) used.add(target.used);
  return !hasRoom(capacity, used, requested);
}

function computeCapacity(targets: readonly TargetRecord[]): ResourceSum {
  const sum = new ResourceSum();
  for (const { capacity } of targets) sum.add(capacity);
  return sum;
}

/** Sums the resources that the runs of each team reserve on the targets. */
function computeHeld(targets: readonly TargetRecord[]): Map<string, ResourceSum> {
  const held = new Map<string, ResourceSum>();
  for (const target of targets) {
    for (const { task } of target.assignments) {
      const { job, definition } = task.step;
      addTo(held, job.stored.team, getFootprint(definition), 1);
    }
  }
  return held;
}

function addTo(
  sums: Map<string, ResourceSum>,
  team: string,
  footprint: Resources,
  count: number,
): void {
  const known = sums.get(team);
  const sum = known ?? new ResourceSum();
  if (known === undefined) sums.set(team, sum);
  sum.add(footprint, count);
}
