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
import { FeedConsumer, type Row, type Store } from '@currantgap/store';
import type { Logger } from '@currantgap/telemetry';

/** Milliseconds between an answer of the feed and the next poll. */
const PAUSE_MS = 50;

/** Follows what operators write: the configuration, evacuations and maintenance waves. */
export class OperatorFeedConsumer {
  readonly #logger: Logger;
  readonly #follower: FeedConsumer;
  readonly #onChange: () => void;
  readonly #waves = new Map<string, Wave>();
  #evacuated: ReadonlySet<string> = new Set();
  #routes: RouteTable | undefined;

  constructor(store: Store, logger: Logger, onChange: () => void) {
    this.#logger = logger;
    this.#onChange = onChange;
    this.#follower = new FeedConsumer({
      store,
      table: OPERATOR_TABLE,
      parts: [''],
      pauseMs: PAUSE_MS,
      onRows: (rows, isWhole) => {
        this.#apply(rows, isWhole);
      },
      onFault: (fault) => {
        if (fault === undefined) logger.writeInfo('operator feed regained');
        else logger.writeWarning('operator feed lost', { reason: fault.message });
      },
    });
  }

  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  get view(): OperatorView {
    return {
      configuration: this.#routes?.configuration,
      evacuated: this.#evacuated,
      waves: this.#waves.values(),
    };
  }

  async run(): Promise<void> {
    await this.#follower.run();
  }

  stop(): void {
    this.#follower.stop();
  }

  #apply(rows: readonly Row[], isWhole: boolean): void {
    const evacuated = new Set(isWhole ? [] : this.#evacuated);
    if (isWhole) this.#waves.clear();
    for (const row of rows) {
      const dataCentre = findEvacuatedDataCentre(row.key);
      if (dataCentre !== undefined) {
        if (row.isDeleted) evacuated.delete(dataCentre);
        else evacuated.add(dataCentre);
        this.#logger.writeInfo('evacuation', { dataCentre, isOver: row.isDeleted });
      } else if (isWaveKey(row.key)) this.#applyWave(row);
      else if (row.key === CONFIGURATION_KEY) this.#applyConfiguration(row);
    }
    this.#evacuated = evacuated;
    this.#onChange();
  }

  #applyWave(row: Row): void {
    const wave = row.isDeleted ? undefined : decodeWave(row.value);
    if (wave === undefined) this.#waves.delete(row.key);
    else this.#waves.set(row.key, wave);
    this.#logger.writeInfo('maintenance wave', {
      wave: row.key,
      vms: wave?.vms.length ?? 0,
      concurrency: wave?.concurrency ?? 0,
      durationS: wave?.durationS ?? 0,
    });
  }

  #applyConfiguration(row: Row): void {
    const configuration = row.isDeleted ? undefined : decodeConfiguration(parseJson(row.value));
    const known = this.#routes?.configuration.version ?? -1;
    if (configuration === undefined || configuration.version < known) {
      this.#logger.writeError('configuration not taken', {
        offered: configuration?.version ?? -1,
        known,
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
