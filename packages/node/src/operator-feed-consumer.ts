import type { OperatorView } from '@currantgap/execution';
import { RouteTable } from '@currantgap/ingress';
import type { Wave } from '@currantgap/model';
import {
  CONFIGURATION_KEY,
  decodeConfiguration,
  decodeWave,
  findEvacuatedDataCentre,
  isWaveKey,
  OPERATOR_TABLE,
  parseJson,
} from '@currantgap/platform-adapter';
import { applyRows, FeedConsumer, type PageSizer, type Row, type Store } from '@currantgap/store';
import type { Logger } from '@currantgap/telemetry';

/** Milliseconds between a response of the feed and the next poll. */
const POLL_PAUSE_MS = 50;

/** Consumes the operators' change feed: configuration, evacuations and maintenance waves. */
export class OperatorFeedConsumer {
  readonly #logger: Logger;
  readonly #consumer: FeedConsumer;
  readonly #onChange: () => void;
  readonly #waves = new Map<string, Wave>();
  #evacuated: ReadonlySet<string> = new Set();
  #routes: RouteTable | undefined;
  /** Monotonic time at which nothing was known yet, in milliseconds. */
  readonly #startedAt = performance.now();
  /** Monotonic time at which the configuration was last read beside the feed, in milliseconds. */
  #confirmedAt = -Infinity;

  constructor(store: Store, pageSizer: PageSizer, logger: Logger, onChange: () => void) {
    this.#logger = logger;
    this.#onChange = onChange;
    this.#consumer = new FeedConsumer({
      store,
      pageSizer,
      table: OPERATOR_TABLE,
      parts: [''],
      pauseMs: POLL_PAUSE_MS,
      onRows: (rows, isSnapshot) => {
        this.#apply(rows, isSnapshot);
      },
      onLost: ({ message, kind }) => {
        const configuration = this.#routes?.configuration.version ?? 0;
        const { heardMs } = this;
        logger.writeWarning('operator feed lost', {
          reason: message,
          kind,
          configuration,
          heardMs,
        });
      },
      onRegained: ({ lostMs, failedCalls, longestCallMs }) => {
        logger.writeInfo('operator feed regained', {
          lostMs: Math.round(lostMs),
          failedCalls,
          longestCallMs: Math.round(longestCallMs),
        });
      },
    });
  }

  /** Routes of the configuration in force; undefined before there is one. */
  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  /**
   * Milliseconds since the time up to which all that operators wrote is known; since the start before
   * the first snapshot.
   */
  get heardMs(): number {
    const { currentAt } = this.#consumer;
    return Math.round(performance.now() - (currentAt ?? this.#startedAt));
  }

  /** Milliseconds since the time up to which the configuration is known to be in force. */
  get configurationAgeMs(): number {
    return Math.round(Math.min(this.heardMs, performance.now() - this.#confirmedAt));
  }

  /** Current state of everything that operators have written. */
  get view(): OperatorView {
    return {
      configuration: this.#routes?.configuration,
      evacuated: this.#evacuated,
      waves: this.#waves.values(),
    };
  }

  /** Consumes the feed until `stop` is called. */
  async run(): Promise<void> {
    await this.#consumer.run();
  }

  stop(): void {
    this.#consumer.stop();
  }

  /** Records the row of the configuration as it stood in the store at a monotonic time. */
  recordConfiguration(row: Row, confirmedAt: number): void {
    const known = this.#routes?.configuration.version;
    const { version = -1 } = decodeConfiguration(parseJson(row.value)) ?? {};
    // The feed has brought a newer one while the row was read, or the row cannot be used.
    if (known === undefined || version < known) return;
    if (version > known) this.#apply([row], false);
    this.#confirmedAt = Math.max(this.#confirmedAt, confirmedAt);
  }

  #apply(rows: readonly Row[], isSnapshot: boolean): void {
    const evacuated = new Set(isSnapshot ? [] : this.#evacuated);
    if (isSnapshot) this.#waves.clear();
    const apply = (row: Row): void => {
      this.#applyRow(row, evacuated);
    };
    applyRows(rows, apply, ({ key }, reason) => {
      this.#logger.writeError('operator row not applied', { key, reason });
    });
    this.#evacuated = evacuated;
    this.#onChange();
  }

  #applyRow(row: Row, evacuated: Set<string>): void {
    const dataCentre = findEvacuatedDataCentre(row.key);
    if (dataCentre !== undefined) {
      if (row.isDeleted) evacuated.delete(dataCentre);
      else evacuated.add(dataCentre);
      this.#logger.writeInfo('evacuation changed', { dataCentre, isOver: row.isDeleted });
    } else if (isWaveKey(row.key)) this.#applyWave(row);
    else if (row.key === CONFIGURATION_KEY) this.#applyConfiguration(row);
  }

  #applyWave(row: Row): void {
    const wave = row.isDeleted ? undefined : decodeWave(row.value);
    if (wave === undefined && !row.isDeleted) {
      this.#logger.writeError('operator row not applied', { key: row.key, reason: 'malformed' });
    }
    if (wave === undefined) this.#waves.delete(row.key);
    else this.#waves.set(row.key, wave);
    this.#logger.writeInfo('maintenance wave changed', {
      wave: row.key,
      vms: wave?.vms.length ?? 0,
      concurrency: wave?.concurrency ?? 0,
      durationS: wave?.durationS ?? 0,
    });
  }

  #applyConfiguration(row: Row): void {
    const configuration = row.isDeleted ? undefined : decodeConfiguration(parseJson(row.value));
    const currentVersion = this.#routes?.configuration.version ?? -1;
    if (configuration === undefined || configuration.version < currentVersion) {
      this.#logger.writeError('configuration not taken', {
        offered: configuration?.version ?? -1,
        known: currentVersion,
      });
      return;
    }
    this.#routes = new RouteTable(configuration);
    this.#logger.writeInfo('configuration in force', {
      configuration: configuration.version,
      routes: configuration.routes.length,
      teams: configuration.teams.length,
    });
  }
}
