import { Allowances } from '@currantgap/allowance';
import { EnvironmentState } from '@currantgap/environment';
import { Configuration, ConfigurationFollower, StartGate } from '@currantgap/freshness';
import { Dispatcher, MessageKind } from '@currantgap/gateway';
import { isReclaimComplete, listIncarnations, RowNames, ViewStore } from '@currantgap/membership';
import { Random } from '@currantgap/model';
import {
  HttpClient,
  HttpObjectStore,
  HttpTableService,
  type ObjectStore,
} from '@currantgap/platform';
import type { EntrySettings } from '@currantgap/settings';
import { SystemClock } from '@currantgap/tasks';
import { Logger, Metrics, TrafficMeter } from '@currantgap/telemetry';
import { randomBytes, randomInt } from 'node:crypto';
import type { EntryCore } from './core.ts';
import { CurrentView } from './current-view.ts';
import { PeerBorrower } from './peer-borrower.ts';
import { Peers } from './peers.ts';
import { PEER_TIMEOUT_MS } from './periods.ts';

const MAXIMUM_SEED = 2 ** 31;
const INCARNATION_BYTES = 4;

/** The core of an entry and the components that only `Entry` itself uses. */
export interface EntryComponents {
  readonly core: EntryCore;
  readonly objects: ObjectStore;
  /** Counts the bytes exchanged with peers, the table service and the object store. */
  readonly traffic: TrafficMeter;
}

/** Creates and connects the components of an entry without starting any of them. */
export function createComponents(settings: EntrySettings): EntryComponents {
  const clock = new SystemClock();
  const random = new Random(randomInt(MAXIMUM_SEED));
  const metrics = new Metrics();
  const traffic = new TrafficMeter();
  const incarnation = `${settings.entry.name}.${randomBytes(INCARNATION_BYTES).toString('hex')}`;
  const logger = new Logger({ entry: settings.entry.name, incarnation });
  const rows = new RowNames(settings.entry.environment);
  const client = new HttpClient({ url: settings.platform.table, traffic });
  const table = new HttpTableService({ client, clock, random });
  const objects = new HttpObjectStore(new HttpClient({ url: settings.platform.objects, traffic }));
  const current = new CurrentView(incarnation);
  const gate = new StartGate(clock, settings.timing.freshnessBoundMs);
  const borrower = new PeerBorrower();
  const dispatcher = new Dispatcher({
    clock,
    gate,
    allowances: new Allowances(incarnation, EnvironmentState.createEmpty()),
    borrower,
    metrics,
    ownDataCentre: settings.entry.dataCentre,
  });
  const peers = new Peers({
    clock,
    self: incarnation,
    key: settings.keys.peer,
    timeoutMs: PEER_TIMEOUT_MS,
    traffic,
  });
  const configuration = new Configuration({
    objects,
    findAtPeers: async (hash) => findDocument(peers, hash),
    publish: (state) => {
      metrics.configurationSequence.set(state.sequence);
      dispatcher.post({ kind: MessageKind.Configure, state });
    },
    resolveAnnouncement: (id) => {
      gate.resolve(id);
    },
    countRevert: () => {
      metrics.refusedReverts.inc();
    },
  });
  const follower = new ConfigurationFollower({ table, clock, rows, configuration });
  const core: EntryCore = {
    settings,
    clock,
    random,
    logger,
    metrics,
    table,
    rows,
    views: new ViewStore(table, rows),
    current,
    gate,
    configuration,
    follower,
    peers,
    dispatcher,
  };
  metrics.registerControlBytes(() => traffic.countBytes());
  borrower.connect(core);
  connectView(core);
  return { core, objects, traffic };
}

/** Updates the peers, the allowances and the epoch metric whenever a new view takes effect. */
function connectView(core: EntryCore): void {
  core.current.observe((view) => {
    core.metrics.viewEpoch.set(view.epoch);
    core.peers.setView(view);
    core.dispatcher.post({
      kind: MessageKind.UseAllowances,
      use: (allowances) => {
        allowances.setMembers(listIncarnations(view), isReclaimComplete(view));
      },
    });
  });
}

/**
 * Requests a document that the object store could not provide from peers, one after another.
 * Resolves to undefined if none of them has it.
 */
async function findDocument(peers: Peers, hash: string): Promise<string | undefined> {
  for (const peer of peers.list()) {
    try {
      const response = await peer.client.calls.getDocument({ hash });
      if (response.text !== '') return response.text;
    } catch {
      continue;
    }
  }
  return undefined;
}
