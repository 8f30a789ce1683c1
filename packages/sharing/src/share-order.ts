import type { Resources } from '@currantgap/model';
import { computeUrgency, ResourceSum, Urgency } from '@currantgap/scheduling';
import { computeDominantShare } from './dominant-shares.ts';
import { PlacementOrder, type PlacementCandidate, type Turn } from './placement-order.ts';

/**
 * Slack, as a part of its remaining time, that a job must have to be started ahead of others: a job
 * that is started without any ends late as soon as one of its tasks takes longer than expected.
 */
const SLACK_MARGIN_PART = 0.25;

/** A step with waiting tasks, and what these take of the team's share. */
export interface ShareCandidate extends PlacementCandidate {
  readonly team: string;
  /** Resources that one task reserves. */
  readonly footprint: Resources;
  /** Whether all its tasks start together. */
  readonly isGang: boolean;
}

/** What one planning pass knows of a contended pool. */
export interface ShareOrderOptions<T extends ShareCandidate> {
  readonly capacity: Resources;
  /** Resources that each team holds, including those of persistent tasks. */
  readonly held: ReadonlyMap<string, Resources>;
  readonly getWeight: (team: string) => number;
  readonly candidates: readonly T[];
}

/** A candidate with what its order depends on, computed once. */
interface Entry<T> {
  readonly candidate: T;
  readonly urgency: Urgency;
  readonly isTight: boolean;
  /** Lowest first among entries that are otherwise equal. */
  readonly rank: number;
  /** Number of its tasks that had a turn. */
  triedCount: number;
}

/** Entries of one urgency and priority that belong to one team, in their order. */
interface Queue<T> {
  readonly team: TeamLevel;
  readonly entries: Entry<T>[];
  position: number;
}

/** Resources that a team holds while tasks are placed, and their level relative to its weight. */
class TeamLevel {
  readonly #capacity: Resources;
  readonly #held = new ResourceSum();
  readonly #weight: number;
  /** Dominant share by weight; the plain dominant share if the team has no weight. */
  level = 0;

  constructor(capacity: Resources, held: Resources | undefined, weight: number) {
    this.#capacity = capacity;
    this.#weight = weight;
    if (held !== undefined) this.#held.add(held);
    this.#update();
  }

  get hasWeight(): boolean {
    return this.#weight > 0;
  }

  /** Computes the most by which one task raises the level. */
  computeRise(footprint: Resources): number {
    return this.#computeLevel(computeDominantShare(this.#capacity, footprint));
  }

  add(footprint: Resources, count: number): void {
    this.#held.add(footprint, count);
    this.#update();
  }

  /** Whether this team goes before another one. */
  isBefore(other: TeamLevel): boolean {
    if (this.hasWeight !== other.hasWeight) return this.hasWeight;
    return this.level < other.level;
  }

  #update(): void {
    this.level = this.#computeLevel(computeDominantShare(this.#capacity, this.#held));
  }

  #computeLevel(share: number): number {
    return this.hasWeight ? share / this.#weight : share;
  }
}

/**
 * Order in a contended pool. Urgency and priority go first, as in `compareUrgency`. Among equals the
 * team with the lowest dominant share by weight goes first, which is the one furthest below its fair
 * share; a turn ends where another team becomes the lowest. Within a team, jobs that have started go
 * first, then jobs that keep a margin to their objective by least slack, then all others by shortest
 * remaining time.
 */
export class ShareOrder<T extends ShareCandidate> extends PlacementOrder<T> {
  readonly #groups: readonly (readonly Queue<T>[])[];
  #groupIndex = 0;
  #current: { readonly queue: Queue<T>; readonly entry: Entry<T> } | undefined;

  constructor(options: ShareOrderOptions<T>) {
    super();
    this.#groups = buildGroups(options);
  }

  take(): Turn<T> | undefined {
    for (; this.#groupIndex < this.#groups.length; this.#groupIndex += 1) {
      const group = this.#groups[this.#groupIndex] ?? [];
      const queue = findLowest(group);
      const entry = queue?.entries[queue.position];
      if (queue === undefined || entry === undefined) continue;
      this.#current = { queue, entry };
      const from = entry.triedCount;
      entry.triedCount = from + countTurnTasks(queue, entry, findLowest(group, queue));
      return { candidate: entry.candidate, from, to: entry.triedCount };
    }
    return undefined;
  }

  record(placedCount: number, isBlocked: boolean): void {
    if (this.#current === undefined) return;
    const { queue, entry } = this.#current;
    const { candidate, triedCount } = entry;
    queue.team.add(candidate.footprint, placedCount);
    if (isBlocked || triedCount >= candidate.waiting.length) queue.position += 1;
  }
}

function buildGroups<T extends ShareCandidate>(options: ShareOrderOptions<T>): Queue<T>[][] {
  const { capacity, held, getWeight, candidates } = options;
  const teams = new Map<string, TeamLevel>();
  const groups: Queue<T>[][] = [];
  let queues = new Map<string, Queue<T>>();
  let previous: Entry<T> | undefined;
  for (const entry of candidates.map(createEntry).sort(compareEntries)) {
    const { team: name, priority } = entry.candidate;
    const isSameGroup =
      previous?.urgency === entry.urgency && previous.candidate.priority === priority;
    if (!isSameGroup) {
      queues = new Map();
      groups.push([]);
    }
    previous = entry;
    const team = teams.get(name) ?? new TeamLevel(capacity, held.get(name), getWeight(name));
    teams.set(name, team);
    const queue = queues.get(name);
    if (queue !== undefined) {
      queue.entries.push(entry);
      continue;
    }
    const created = { team, entries: [entry], position: 0 };
    queues.set(name, created);
    groups.at(-1)?.push(created);
  }
  return groups;
}

function createEntry<T extends ShareCandidate>(candidate: T): Entry<T> {
  const { remainingMs, timeToObjectiveMs, hasStarted } = candidate;
  const urgency = computeUrgency(candidate);
  const sparedMs = timeToObjectiveMs - remainingMs * (1 + SLACK_MARGIN_PART);
  const isTight = !hasStarted && sparedMs < 0;
  const rank = urgency >= Urgency.Late || isTight ? remainingMs : sparedMs;
  return { candidate, urgency, isTight, rank, triedCount: 0 };
}

function compareEntries<T extends ShareCandidate>(left: Entry<T>, right: Entry<T>): number {
  if (left.urgency !== right.urgency) return left.urgency - right.urgency;
  const { priority, hasStarted } = left.candidate;
  if (priority !== right.candidate.priority) return priority - right.candidate.priority;
  if (hasStarted !== right.candidate.hasStarted) return hasStarted ? -1 : 1;
  if (left.isTight !== right.isTight) return left.isTight ? 1 : -1;
  return left.rank - right.rank;
}

/** Finds the queue of the team with the lowest level that has something left to try. */
function findLowest<T>(group: readonly Queue<T>[], except?: Queue<T>): Queue<T> | undefined {
  let lowest: Queue<T> | undefined;
  for (const queue of group) {
    if (queue === except || queue.position >= queue.entries.length) continue;
    if (lowest === undefined || queue.team.isBefore(lowest.team)) lowest = queue;
  }
  return lowest;
}

/** Counts the tasks that may be placed until another team has the lower level. */
function countTurnTasks<T extends ShareCandidate>(
  { team }: Queue<T>,
  { candidate, triedCount }: Entry<T>,
  next: Queue<T> | undefined,
): number {
  const leftCount = candidate.waiting.length - triedCount;
  if (candidate.isGang || next?.team.hasWeight !== team.hasWeight) return leftCount;
  const rise = team.computeRise(candidate.footprint);
  if (rise <= 0) return leftCount;
  return Math.min(leftCount, Math.floor((next.team.level - team.level) / rise) + 1);
}
