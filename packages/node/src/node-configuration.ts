import { KnownConfiguration, type RouteTable } from '@currantgap/ingress';
import type { OperatorFeedConsumer } from './operator-feed-consumer.ts';
import type { SettingsFile } from './settings-file.ts';

/** The configuration as the operators' feed of this node has brought it. */
export class NodeConfiguration extends KnownConfiguration {
  readonly #feed: OperatorFeedConsumer;
  readonly #settings: SettingsFile;

  constructor(feed: OperatorFeedConsumer, settings: SettingsFile) {
    super();
    this.#feed = feed;
    this.#settings = settings;
  }

  override get routes(): RouteTable | undefined {
    return this.#feed.routes;
  }

  override get ageMs(): number {
    return this.#feed.heardMs;
  }

  override get applyMs(): number {
    return this.#settings.current.bounds.configurationApplyMs;
  }
}
