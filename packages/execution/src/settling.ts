import type { LeasedTarget, Term } from '@currantgap/ownership';

/** Milliseconds in which a predecessor that still runs learns from some target that it is deposed. */
const DEPOSED_NOTICE_MS = 1_000;

/**
 * Says when work of an earlier term may start again. What a predecessor started is known once
 * every target on which it may hold leases has reported under the new token. A target that stays
 * silent is waited for until no lease from before can still run; it holds up only its own pool,
 * and where the predecessor had noticed the silence, only the tasks that it had there.
 */
export class Settling {
  readonly #awaited = new Map<string, LeasedTarget>();
  readonly #deadline: number;
  /** Instant from which a predecessor that still runs knows that it is deposed. */
  readonly #noticedAt: number;

  constructor(term: Term, leaseMs: number, now: number) {
    for (const target of term.predecessor?.targets ?? []) this.#awaited.set(target.id, target);
    this.#noticedAt = now + DEPOSED_NOTICE_MS;
    this.#deadline = this.#noticedAt + leaseMs;
  }

  /** Instant after which no lease from before this term can still run. */
  get deadline(): number {
    return this.#deadline;
  }

  /** Waits also for a target that was registered when the term began. */
  expect(target: LeasedTarget): void {
    if (!this.#awaited.has(target.id)) this.#awaited.set(target.id, target);
  }

  /** Records that a target has reported under the new token; tells whether it was waited for. */
  record(targetId: string): boolean {
    return this.#awaited.delete(targetId);
  }

  /** Tells whether a task of an earlier term may start, if it was seen nowhere. */
  isSettled(taskName: string, service: string, now: number): boolean {
    if (now >= this.#deadline) return true;
    for (const target of this.#awaited.values()) {
      if (target.service !== service) continue;
      if (target.tasks === undefined || target.tasks.includes(taskName)) return false;
    }
    return true;
  }

  /**
   * Tells whether work that was accepted in this term may start: a predecessor that can still read
   * learns of it too, until it knows that it is deposed, and starts it where the new token is unknown.
   */
  isClear(service: string, now: number): boolean {
    if (now >= this.#noticedAt) return true;
    return ![...this.#awaited.values()].some((target) => target.service === service);
  }

  /** Lists the targets that have not reported yet; none once their leases cannot run any more. */
  listAwaited(now: number): readonly LeasedTarget[] {
    return now >= this.#deadline ? [] : [...this.#awaited.values()];
  }
}
