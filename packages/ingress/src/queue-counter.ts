import type { Logger } from '@currantgap/telemetry';
import { BoundedLog } from './bounded-log.ts';
import type { JsonResponse } from './exchange.ts';
import { buildUnavailable } from './responses.ts';
import type { OwnerPort } from './state-reader.ts';

/** Answers how many submissions of a queue wait. */
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
    const ageMs = count === undefined ? undefined : Math.round(now - count.currentAt);
    this.#log.write({
      route,
      ...(count === undefined ? {} : { waiting: count.waiting, epoch: count.epoch, ageMs }),
      status: count === undefined ? 503 : 200,
      tookMs: Math.round(now - askedAt),
    });
    if (count === undefined) return buildUnavailable('The queue cannot be counted now.');
    return { status: 200, body: { waiting: count.waiting } };
  }
}
