import type { Term } from '@currantgap/ownership';

/** Milliseconds in which a predecessor that still runs learns from some target that it is deposed. */
const DEPOSED_NOTICE_MS = 1_200;

/**
 * Says when work of an earlier term may start again. What a predecessor started is known once
 * every target on which it may hold leases has reported under the new token; a target that stays
 * silent is waited for until no lease from before can still run.
 */
export class Settling {
  readonly #awaited: Set<string>;
  readonly #deadline: number;

  constructor(term: Term, leaseMs: number, now: number) {
    this.#awaited = new Set(term.predecessor?.targets ?? []);
    this.#deadline = now + leaseMs + DEPOSED_NOTICE_MS;
  }

  /** Instant after which no lease from before this term can still run. */
  get deadline(): number {
    return this.#deadline;
  }

  /** Waits also for a target that was registered when the term began. */
  expect(targetId: string): void {
    this.#awaited.add(targetId);
  }

  /** Records that a target has reported under the new token, or that its lifetime is over. */
  record(targetId: string): void {
    this.#awaited.delete(targetId);
  }

  isSettled(now: number): boolean {
    return this.#awaited.size === 0 || now >= this.#deadline;
  }

  listAwaited(): string[] {
    return [...this.#awaited];
  }
}
