import type { WaitingCount } from '@currantgap/execution';
import type { LogContext, Logger } from '@currantgap/telemetry';
import { BoundedLog } from './bounded-log.ts';
import type { JsonResponse } from './exchange.ts';
import { buildUnavailable } from './responses.ts';
import type { OwnerPort } from './state-reader.ts';

/** Milliseconds that a count may be old, as the platform's callers are told. */
const MAXIMUM_AGE_MS = 2_000;

/** What became of a request for a count. */
enum CountOutcome {
  Counted = 'counted',
  /** The owner may not know of submissions that were accepted long ago. */
  Outdated = 'outdated',
  /** There is no owner, it did not answer, or it has not read the submissions yet. */
  Unavailable = 'unavailable',
}

/** Answers how many submissions of a queue wait; a count that is outdated is not given. */
export class QueueCounter {
  readonly #owner: OwnerPort;
  readonly #log: BoundedLog;

  constructor(owner: OwnerPort, logger: Logger) {
    this.#owner = owner;
    this.#log = new BoundedLog(logger, 'queue counted');
  }

  /** Asks the owner for the count of a route's queue. */
  async count(route: string): Promise<JsonResponse> {
    const askedAt = performance.now();
    const count = await this.#owner.countWaiting(route);
    const now = performance.now();
    const outcome = decideOutcome(count, now);
    this.#log.write({
      route,
      outcome,
      ...(count === undefined ? {} : describeCount(count, now)),
      tookMs: Math.round(now - askedAt),
    });
    if (count === undefined || outcome === CountOutcome.Outdated)
      return buildUnavailable('The queue cannot be counted now.');
    return { status: 200, body: { waiting: count.waiting } };
  }
}

function decideOutcome(count: WaitingCount | undefined, now: number): CountOutcome {
  if (count === undefined) return CountOutcome.Unavailable;
  return now - count.currentAt > MAXIMUM_AGE_MS ? CountOutcome.Outdated : CountOutcome.Counted;
}

function describeCount({ waiting, epoch, currentAt }: WaitingCount, now: number): LogContext {
  return { waiting, epoch, ageMs: Math.round(now - currentAt) };
}
