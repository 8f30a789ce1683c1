import { Result } from 'neverthrow';
import { setTimeout as sleep } from 'node:timers/promises';
import { readAll, StoreFaultKind, type Row, type Store, type StoreFault } from './store.ts';

/**
 * Milliseconds that a poll waits at the store when nothing changes: short, since a connection that
 * fell silent shows only when the answer is overdue, and a configuration is due within seconds.
 */
const POLL_WAIT_MS = 1_500;
/** Milliseconds before a failed call is repeated; half of it is random so that callers spread. */
const RETRY_PAUSE_MS = 200;

/** Options of a follower. */
export interface FollowerOptions {
  readonly store: Store;
  readonly table: string;
  /** Parts whose rows are wanted. */
  readonly parts: readonly string[];
  /** Milliseconds between an answer and the next poll: gathers changes into fewer calls. */
  readonly pauseMs: number;
  /** Receives the whole content first and after lost history, and then the changes. */
  readonly onRows: (rows: readonly Row[], isWhole: boolean) => void;
  /** Told when the store stops or starts to answer. */
  readonly onFault?: (fault: StoreFault | undefined) => void;
}

/** Follows some parts of one table: a whole read, then its feed; reads again when history is gone. */
export class Follower {
  readonly #options: FollowerOptions;
  #version: number | undefined;
  #isStopped = false;
  #isFailing = false;

  constructor(options: FollowerOptions) {
    this.#options = options;
  }

  /** Follows until `stop` is called. */
  async run(): Promise<void> {
    while (!this.#isStopped) {
      const isAnswered = this.#version === undefined ? await this.#readWhole() : await this.#poll();
      await sleep(isAnswered ? this.#options.pauseMs : RETRY_PAUSE_MS * (0.5 + Math.random() / 2));
    }
  }

  /** Ends the loop after the call under way. */
  stop(): void {
    this.#isStopped = true;
  }

  async #readWhole(): Promise<boolean> {
    const { store, table, parts } = this.#options;
    const answers = await Promise.all(parts.map(async (part) => readAll(store, table, part)));
    if (this.#isStopped) return true;
    const pages = Result.combine(answers);
    if (pages.isErr()) return this.#fail(pages.error);
    this.#recover();
    // The parts were read one after another: from the oldest reading on, changes come again.
    this.#version = Math.min(...pages.value.map(({ version }) => version));
    const rows = pages.value.flatMap((page) => page.rows);
    this.#options.onRows(rows, true);
    return true;
  }

  async #poll(): Promise<boolean> {
    const { store, table, parts } = this.#options;
    const page = await store.poll({ table, after: this.#version ?? 0, waitMs: POLL_WAIT_MS });
    if (this.#isStopped) return true;
    if (page.isErr()) {
      if (page.error.kind === StoreFaultKind.HistoryGone) this.#version = undefined;
      return this.#fail(page.error);
    }
    this.#recover();
    this.#version = Math.max(this.#version ?? 0, page.value.version);
    const rows = page.value.rows.filter((row) => parts.includes(row.part));
    if (rows.length > 0) this.#options.onRows(rows, false);
    return true;
  }

  #fail(fault: StoreFault): boolean {
    if (!this.#isFailing) this.#options.onFault?.(fault);
    this.#isFailing = true;
    return false;
  }

  #recover(): void {
    if (this.#isFailing) this.#options.onFault?.(undefined);
    this.#isFailing = false;
  }
}
