import { KnownConfiguration, type RouteTable } from '@currantgap/ingress';
import { CONFIGURATION_KEY, OPERATOR_TABLE, type NodeBounds } from '@currantgap/platform-adapter';
import type { Store } from '@currantgap/store';
import type { OperatorFeedConsumer } from './operator-feed-consumer.ts';

/** Milliseconds between two reads of the configuration: at most two priced calls a second. */
const REFRESH_PERIOD_MS = 500;

/** Options of a node's knowledge of the configuration. */
export interface NodeConfigurationOptions {
  readonly feed: OperatorFeedConsumer;
  /** Store for reads beside the feed. */
  readonly store: Store;
  readonly getBounds: () => NodeBounds;
}

/**
 * The configuration as the operators' feed has brought it. While the feed is behind, the configuration
 * is read beside it, on demand: a poll that waits for a change answers later than a read.
 */
export class NodeConfiguration extends KnownConfiguration {
  readonly #options: NodeConfigurationOptions;
  /** Monotonic time before which the configuration is not read again, in milliseconds. */
  #readNotBefore = -Infinity;

  constructor(options: NodeConfigurationOptions) {
    super();
    this.#options = options;
  }

  override get routes(): RouteTable | undefined {
    return this.#options.feed.routes;
  }

  override get ageMs(): number {
    return this.#options.feed.configurationAgeMs;
  }

  override get applyMs(): number {
    return this.#options.getBounds().configurationApplyMs;
  }

  override get revocationMs(): number {
    return this.#options.getBounds().revocationMs;
  }

  override requestRefresh(): void {
    const now = performance.now();
    // The next read waits for no response, which a silent store owes for longer than the period.
    if (now < this.#readNotBefore) return;
    this.#readNotBefore = now + REFRESH_PERIOD_MS;
    void this.#read(now);
  }

  async #read(requestedAt: number): Promise<void> {
    const { feed, store } = this.#options;
    const page = await store.read({
      table: OPERATOR_TABLE,
      part: '',
      from: CONFIGURATION_KEY,
      limit: 1,
    });
    // The feed has logged that the store does not answer.
    if (page.isErr()) return;
    const row = page.value.rows.find(({ key }) => key === CONFIGURATION_KEY);
    // So few readings of the store's clock do not tell how long the response was on its way.
    if (row !== undefined) feed.recordConfiguration(row, requestedAt);
  }
}
