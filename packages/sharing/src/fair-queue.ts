import type { Instant, TeamName } from '@currantgap/model';

/** An item that waits for a slot. */
export interface QueuedItem {
  readonly team: TeamName;
  /** Instant after which a response has no value. */
  readonly deadline: Instant;
}

/** Lower bound of a team's weight, which prevents starvation. */
const MINIMUM_WEIGHT = 0.05;
const DEFAULT_WEIGHT = 1;
/** Expected cost in slot-milliseconds of a team's items until the first one has been recorded. */
const INITIAL_COST_MS = 20;
/** Weight of a new sample in the moving averages of cost and deviation. */
const COST_SMOOTHING = 0.1;
/** Number of mean deviations above the mean that bounds the cost of nearly every item. */
const DEVIATION_FACTOR = 4;

/**
 * Start-time fair queueing among the teams of one service. Each item advances the start tag of its
 * team by its cost in slot-milliseconds divided by the weight of the team, and the team with the
 * lowest start tag is served first. A team that was idle resumes at the current virtual time, so
 * that it gains no credit while idle.
 */
export class FairQueue<Item extends QueuedItem> {
  readonly #teams = new Map<TeamName, TeamQueue<Item>>();
  #virtualTime = 0;
  #length = 0;

  /** Number of waiting items of all teams. */
  get length(): number {
    return this.#length;
  }

  /** Counts the waiting items of a team. */
  count(team: TeamName): number {
    return this.#teams.get(team)?.length ?? 0;
  }

  /** Sets the weight of a team. Applies to the items taken or recorded from now on. */
  setWeight(team: TeamName, weight: number): void {
    this.#getOrCreateQueue(team).weight = Math.max(MINIMUM_WEIGHT, weight);
  }

  /** Adds an item at the end of its team's queue, or at the head if it is a retry. */
  add(item: Item, isRetry = false): void {
    const queue = this.#getOrCreateQueue(item.team);
    if (queue.length === 0) queue.startTag = Math.max(queue.startTag, this.#virtualTime);
    queue.add(item, isRetry);
    this.#length += 1;
  }

  /**
   * Takes the next item of the teams that `canStart` accepts, and charges its expected cost to its
   * team. Returns undefined when no team has an item that can start.
   */
  take(canStart: (team: TeamName, first: Item) => boolean): Item | undefined {
    const queue = this.#chooseQueue(canStart);
    const item = queue?.take();
    if (queue === undefined || item === undefined) return undefined;
    this.#virtualTime = Math.max(this.#virtualTime, queue.startTag);
    queue.startTag += queue.expectedCostMs / queue.weight;
    this.#length -= 1;
    return item;
  }

  /**
   * Records the actual cost of a finished item in slot-milliseconds: corrects the charge of its
   * team by the difference from the expected cost, and updates the expected cost.
   */
  recordCost(team: TeamName, costMs: number): void {
    const queue = this.#getOrCreateQueue(team);
    queue.startTag += (costMs - queue.expectedCostMs) / queue.weight;
    const difference = costMs - queue.expectedCostMs;
    queue.expectedCostMs += COST_SMOOTHING * difference;
    queue.costDeviationMs += COST_SMOOTHING * (Math.abs(difference) - queue.costDeviationMs);
  }

  /**
   * Estimates the cost in slot-milliseconds that nearly no item of a team exceeds: the mean plus
   * four mean deviations, as for the retransmission timeout in RFC 6298.
   */
  estimateMaximumCostMs(team: TeamName): number {
    const queue = this.#teams.get(team);
    if (queue === undefined) return INITIAL_COST_MS;
    return queue.expectedCostMs + DEVIATION_FACTOR * queue.costDeviationMs;
  }

  /** Removes and returns items from the head of each queue while `shouldRemove` accepts them. */
  removeHeads(shouldRemove: (item: Item) => boolean): Item[] {
    const removed: Item[] = [];
    for (const queue of this.#teams.values()) {
      while (queue.first !== undefined && shouldRemove(queue.first)) {
        const item = queue.take();
        if (item !== undefined) removed.push(item);
      }
    }
    this.#length -= removed.length;
    return removed;
  }

  /** Gets the expected cost of an item of a team in slot-milliseconds. */
  getExpectedCostMs(team: TeamName): number {
    return this.#teams.get(team)?.expectedCostMs ?? INITIAL_COST_MS;
  }

  /** Removes and returns all items. */
  removeAll(): Item[] {
    return this.removeWhere(() => true);
  }

  /** Lists the teams that have waiting items. */
  listWaitingTeams(): TeamName[] {
    return [...this.#teams].filter(([, queue]) => queue.length > 0).map(([team]) => team);
  }

  /** Removes and returns all items that `shouldRemove` accepts. */
  removeWhere(shouldRemove: (item: Item) => boolean): Item[] {
    const removed = [...this.#teams.values()].flatMap((queue) => queue.removeWhere(shouldRemove));
    this.#length -= removed.length;
    return removed;
  }

  #chooseQueue(canStart: (team: TeamName, first: Item) => boolean): TeamQueue<Item> | undefined {
    let best: TeamQueue<Item> | undefined;
    for (const [team, queue] of this.#teams) {
      const first = queue.first;
      if (first === undefined) continue;
      if (best !== undefined && best.startTag <= queue.startTag) continue;
      if (canStart(team, first)) best = queue;
    }
    return best;
  }

  #getOrCreateQueue(team: TeamName): TeamQueue<Item> {
    const existing = this.#teams.get(team);
    if (existing !== undefined) return existing;
    const created = new TeamQueue<Item>();
    this.#teams.set(team, created);
    return created;
  }
}

/** The waiting items of one team in the order in which they are served. */
class TeamQueue<Item> {
  #items: Item[] = [];
  #head = 0;
  weight = DEFAULT_WEIGHT;
  /** Virtual time at which the next item of the team starts. */
  startTag = 0;
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

  removeWhere(shouldRemove: (item: Item) => boolean): Item[] {
    const waiting = this.#items.slice(this.#head);
    const removed = waiting.filter((item) => shouldRemove(item));
    if (removed.length === 0) return removed;
    this.#items = waiting.filter((item) => !shouldRemove(item));
    this.#head = 0;
    return removed;
  }
}
