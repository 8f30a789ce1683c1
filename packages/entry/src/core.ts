import type { Allowances } from '@currantgap/allowance';
import type { Configuration, ConfigurationFollower, StartGate } from '@currantgap/freshness';
import { MessageKind, type Dispatcher } from '@currantgap/gateway';
import type { RowNames, ViewStore } from '@currantgap/membership';
import type { TableService } from '@currantgap/platform';
import type { EntrySettings } from '@currantgap/settings';
import type { Clock } from '@currantgap/tasks';
import type { Logger, Metrics } from '@currantgap/telemetry';
import type { Random } from '@currantgap/model';
import type { CurrentView } from './current-view.ts';
import type { Peers } from './peers.ts';

/** Components shared by the tasks of one entry. */
export interface EntryCore {
  readonly settings: EntrySettings;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly table: TableService;
  readonly rows: RowNames;
  readonly views: ViewStore;
  readonly current: CurrentView;
  readonly gate: StartGate;
  readonly configuration: Configuration;
  readonly follower: ConfigurationFollower;
  readonly peers: Peers;
  readonly dispatcher: Dispatcher;
}

/** Runs `use` on the allowances in the dispatcher, which owns them, and resolves to its result. */
export async function useAllowances<T>(
  core: Pick<EntryCore, 'dispatcher'>,
  use: (allowances: Allowances) => T,
): Promise<T> {
  return new Promise((resolve) => {
    core.dispatcher.post({
      kind: MessageKind.UseAllowances,
      use: (allowances) => {
        resolve(use(allowances));
      },
    });
  });
}
