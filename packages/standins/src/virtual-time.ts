import { syncBuiltinESMExports } from 'node:module';
import timers from 'node:timers/promises';

/** A timer that has not fired yet. */
interface PendingTimer {
  readonly deadline: number;
  readonly callback: () => void;
}

const nextTurn = globalThis.setImmediate;

/** Replaces timers and clocks of this process by ones whose time changes only through `run`. */
export class VirtualTime {
  #now = 0;
  #lastTimer = 0;
  readonly #pending = new Map<number, PendingTimer>();

  /** Replaces the timers and clocks until the process ends. */
  start(): void {
    const set = (callback: () => void, delayMs = 0): number => this.#add(callback, delayMs);
    const clear = (timer?: number): void => {
      this.#pending.delete(timer ?? 0);
    };
    const sleep = async (delayMs = 0): Promise<void> =>
      new Promise((resolve) => {
        this.#add(resolve, delayMs);
      });
    Object.assign(globalThis, { setTimeout: set, clearTimeout: clear });
    Object.assign(timers, { setTimeout: sleep });
    syncBuiltinESMExports();
    performance.now = () => this.#now;
    Date.now = () => this.#now;
  }

  get now(): number {
    return this.#now;
  }

  /** Lets some milliseconds pass, or fewer if a condition holds earlier. */
  async run(durationMs: number, isMet: () => boolean = () => false): Promise<void> {
    const end = this.#now + durationMs;
    await this.#runTasks();
    while (!isMet()) {
      const next = this.#takeDue(end);
      if (next === undefined) {
        this.#now = end;
        return;
      }
      this.#now = Math.max(this.#now, next.deadline);
      next.callback();
      await this.#runTasks();
    }
  }

  #add(callback: () => void, delayMs: number): number {
    this.#lastTimer += 1;
    const deadline = this.#now + Math.max(1, delayMs);
    this.#pending.set(this.#lastTimer, { deadline, callback });
    return this.#lastTimer;
  }

  #takeDue(end: number): PendingTimer | undefined {
    let first: [number, PendingTimer] | undefined;
    for (const entry of this.#pending) {
      if (first === undefined || entry[1].deadline < first[1].deadline) first = entry;
    }
    if (first === undefined || first[1].deadline > end) return undefined;
    this.#pending.delete(first[0]);
    return first[1];
  }

  /** Runs what waits for settled promises. */
  async #runTasks(): Promise<void> {
    await new Promise<void>((resolve) => {
      nextTurn(resolve);
    });
  }
}
