import type { Instant, TeamName } from '@currantgap/model';

/** Something that waits for a slot. */
export interface Waiting {
  readonly team: TeamName;
  /** Instant after which its answer is worth nothing. */
  readonly deadline: Instant;
}

/** Smallest weight a team can have, so that none is starved. */
const MINIMUM_WEIGHT = 0.05;
const DEFAULT_WEIGHT = 1;
/** Slot-milliseconds that a request is expected to take before any has been measured. */
const INITIAL_COST_MS = 20;
const COST_SMOOTHING = 0.1;
/** Mean deviations above the mean within which a request very likely ends. */
const DEVIATIONS = 4;

/**
 * Start-time fair queueing among the teams of one service. A team is charged slot-milliseconds
 * divided by its weight; the team charged least goes first. A team that was idle starts at the
 * present virtual time, so that idleness earns no credit.
 */
export class FairQueue<Item extends Waiting> {
  readonly #teams = new Map<TeamName, TeamQueue<Item>>();
  #virtualTime = 0;
  #length = 0;

  /** Requests waiting in all. */
  get length(): number {
    return this.#length;
  }

  /** Requests of one team waiting. */
  count(team: TeamName): number {
    return this.#teams.get(team)?.length ?? 0;
  }

  /** Sets the weight of a team for what it is charged from now on. */
  setWeight(team: TeamName, weight: number): void {
    this.#open(team).weight = Math.max(MINIMUM_WEIGHT, weight);
  }

  /** Adds an item at the end of its team's queue, or at its head for a retry. */
  add(item: Item, isRetry = false): void {
    const queue = this.#open(item.team);
    if (queue.length === 0) queue.charged = Math.max(queue.charged, this.#virtualTime);
    queue.add(item, isRetry);
    this.#length += 1;
  }

  /** Takes the next item among the teams that `canStart` accepts, and charges its team. */
  take(canStart: (team: TeamName, first: Item) => boolean): Item | undefined {
    const queue = this.#chooseQueue(canStart);
    const item = queue?.take();
    if (queue === undefined || item === undefined) return undefined;
    this.#virtualTime = Math.max(this.#virtualTime, queue.charged);
    queue.charged += queue.expectedCostMs / queue.weight;
    this.#length -= 1;
    return item;
  }

  /** Corrects the charge of a finished item by the slot time it really took. */
  record(team: TeamName, costMs: number): void {
    const queue = this.#open(team);
    queue.charged += (costMs - queue.expectedCostMs) / queue.weight;
    const difference = costMs - queue.expectedCostMs;
    queue.expectedCostMs += COST_SMOOTHING * difference;
    queue.costDeviationMs += COST_SMOOTHING * (Math.abs(difference) - queue.costDeviationMs);
  }

  /** Slot-milliseconds within which nearly every request of the team ends, after RFC 6298. */
  getLikelyLongestCost(team: TeamName): number {
    const queue = this.#teams.get(team);
    if (queue === undefined) return INITIAL_COST_MS;
    return queue.expectedCostMs + DEVIATIONS * queue.costDeviationMs;
  }

  /** Removes and returns the items at the heads of the queues that `isRemoved` accepts. */
  removeHeads(isRemoved: (item: Item) => boolean): Item[] {
    const removed: Item[] = [];
    for (const queue of this.#teams.values()) {
      while (queue.first !== undefined && isRemoved(queue.first)) {
        const item = queue.take();
        if (item !== undefined) removed.push(item);
      }
    }
    this.#length -= removed.length;
    return removed;
  }

  /** Slot-milliseconds that a request of the team is expected to take. */
  getExpectedCost(team: TeamName): number {
    return this.#teams.get(team)?.expectedCostMs ?? INITIAL_COST_MS;
  }

  /** Removes and returns every item. */
  removeAll(): Item[] {
    return this.removeWhere(() => true);
  }

  /** Lists the teams that have items waiting. */
  listWaitingTeams(): TeamName[] {
    return [...this.#teams].filter(([, queue]) => queue.length > 0).map(([team]) => team);
  }

  /** Removes and returns the items that `isRemoved` accepts. */
  removeWhere(isRemoved: (item: Item) => boolean): Item[] {
    const removed = [...this.#teams.values()].flatMap((queue) => queue.removeWhere(isRemoved));
    this.#length -= removed.length;
    return removed;
  }

  #chooseQueue(canStart: (team: TeamName, first: Item) => boolean): TeamQueue<Item> | undefined {
    let best: TeamQueue<Item> | undefined;
    for (const [team, queue] of this.#teams) {
      const first = queue.first;
      if (first === undefined) continue;
      if (best !== undefined && best.charged <= queue.charged) continue;
      if (canStart(team, first)) best = queue;
    }
    return best;
  }

  #open(team: TeamName): TeamQueue<Item> {
    const known = this.#teams.get(team);
    if (known !== undefined) return known;
    const created = new TeamQueue<Item>();
    this.#teams.set(team, created);
    return created;
  }
}

/** The items of one team, in order of arrival. */
class TeamQueue<Item> {
  #items: Item[] = [];
  #head = 0;
  weight = DEFAULT_WEIGHT;
  charged = 0;
  expectedCostMs = INITIAL_COST_MS;
  costDeviationMs = 0;

  get length(): number {
    return this.#items.length - this.#head;
  }

  get first(): Item | undefined {
    return this.#items[this.#head];
  }

  add(item: Item, isRetry: boolean): void {
    if (!isRetry) {
      this.#items.push(item);
      return;
    }
    this.#items.splice(0, this.#head, item);
    this.#head = 0;
  }

  take(): Item | undefined {
    const item = this.first;
    if (item === undefined) return undefined;
    this.#head += 1;
    if (this.#head * 2 > this.#items.length) {
      this.#items.splice(0, this.#head);
      this.#head = 0;
    }
    return item;
  }

  removeWhere(isRemoved: (item: Item) => boolean): Item[] {
    const waiting = this.#items.slice(this.#head);
    const removed = waiting.filter((item) => isRemoved(item));
    if (removed.length === 0) return removed;
    this.#items = waiting.filter((item) => !isRemoved(item));
    this.#head = 0;
    return removed;
  }
}
