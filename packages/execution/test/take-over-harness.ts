import { encodeStoredJob, STEP_DEFAULTS } from '@currantgap/jobs';
import type { Configuration, EndKind, Route, Step, TargetEntry } from '@currantgap/model';
import { FENCE_ROW } from '@currantgap/ownership';
import { MemoryStore, waitUntil } from '@currantgap/standins';
import { PageSizer } from '@currantgap/store';
import { VirtualClock } from '@currantgap/tasks';
import { Logger } from '@currantgap/telemetry';
import { err, ok, type Result } from 'neverthrow';
import { setTimeout as sleep } from 'node:timers/promises';
import { getIntakePart, INTAKE_TABLE } from '../src/intake-tables.ts';
import { LEDGER_TABLE } from '../src/ledger.ts';
import { Owner } from '../src/owner.ts';
import {
  LeaseRenewalFault,
  OrderOutcome,
  StartOutcome,
  TargetPort,
  type ActiveRun,
  type EndedRun,
  type LeaseRenewalOrder,
  type RunOrder,
  type StartOrder,
  type TargetAddress,
  type TargetReport,
} from '../src/ports.ts';
import {
  createConfiguration,
  createStoredJob,
  createTarget,
  PREDECESSOR,
  ROUTE,
} from './term-harness.ts';

const REGISTRY_TABLE = 'servers';
/** Milliseconds after which a target answers a renewal. */
const POLL_MS = 5;
const TARGET_LEASE_MS = 3_000;

/** Targets that keep what they are told to run until a test ends it; a silent one answers nothing. */
export class FakeTargets extends TargetPort {
  readonly starts: { readonly target: string; readonly task: string; readonly run: number }[] = [];
  readonly silent = new Set<string>();
  /** Saved points with which tasks were started. */
  readonly checkpoints = new Map<string, string>();
  /** Ends up to this number were acknowledged, by target. */
  readonly acknowledged = new Map<string, number>();
  readonly #running = new Map<string, ActiveRun[]>();
  readonly #ended = new Map<string, EndedRun[]>();
  #clockMs = 0;

  async start({ id }: TargetAddress, { task, run, checkpoint }: StartOrder): Promise<StartOutcome> {
    await sleep(0);
    if (this.silent.has(id)) return StartOutcome.Unknown;
    this.starts.push({ target: id, task, run });
    if (checkpoint !== '') this.checkpoints.set(task, checkpoint);
    const runs = this.#running.get(id) ?? [];
    runs.push({ task, run, checkpoint: '', percent: 50, reading: 0 });
    this.#running.set(id, runs);
    return StartOutcome.Accepted;
  }

  async stop({ id }: TargetAddress, { task }: RunOrder): Promise<OrderOutcome> {
    await sleep(0);
    return this.silent.has(id) || task === '' ? OrderOutcome.Unknown : OrderOutcome.Accepted;
  }

  async renewLeases(
    { id }: TargetAddress,
    { acknowledgedThrough }: LeaseRenewalOrder,
  ): Promise<Result<TargetReport, LeaseRenewalFault>> {
    await sleep(POLL_MS);
    if (this.silent.has(id)) return err(LeaseRenewalFault.NoAnswer);
    this.acknowledged.set(id, Math.max(acknowledgedThrough, this.acknowledged.get(id) ?? 0));
    this.#clockMs += 1;
    return ok({
      clockMs: this.#clockMs,
      bornAt: 1,
      running: this.#running.get(id) ?? [],
      ended: (this.#ended.get(id) ?? []).filter(({ sequence }) => sequence > acknowledgedThrough),
      hasMoreEnds: false,
    });
  }

  async setPace(): Promise<OrderOutcome> {
    await sleep(0);
    return OrderOutcome.Accepted;
  }

  /** Ends all active runs, whose saved points are of this length. */
  endAll(kind: EndKind, checkpoint = ''): void {
    for (const [id, runs] of this.#running) {
      const ended = this.#ended.get(id) ?? [];
      const ends = runs.map(({ task, run }, index) => {
        return { sequence: ended.length + index + 1, task, run, kind, checkpoint };
      });
      this.#ended.set(id, [...ended, ...ends]);
      this.#running.set(id, []);
    }
  }
}

/** Owners that follow each other, with their store and targets. Time stands still for them. */
export class TakeOverHarness {
  readonly store = new MemoryStore();
  readonly targets = new FakeTargets();
  readonly clock = new VirtualClock();
  configuration: Configuration = createConfiguration();
  readonly #owners: Owner[] = [];

  constructor() {
    this.clock.advanceTo(10_000);
  }

  get owner(): Owner {
    const owner = this.#owners.at(-1);
    if (owner === undefined) throw new Error('there is no owner');
    return owner;
  }

  /** Makes a new owner take over, as from a predecessor that was killed. */
  async takeOver(): Promise<void> {
    this.#owners.at(-1)?.close();
    const epoch = this.#owners.length + 1;
    const puts = [{ ...FENCE_ROW, value: String(epoch) }];
    const version = (
      await this.store.commit({ conditions: [], puts, removals: [] })
    )._unsafeUnwrap();
    const owner = this.#createOwner(epoch, version);
    this.#owners.push(owner);
    owner.open();
    await waitUntil(() => owner.describeTerm().isSettled);
  }

  /** Registers a target in a pool, which must happen before the first owner opens. */
  async register(id: string, service: string): Promise<void> {
    await this.#put(REGISTRY_TABLE, '', id, JSON.stringify(createTarget(id, { service })));
  }

  /** Replaces the configured routes and tells the owner. */
  configure(...routes: readonly Partial<Route>[]): void {
    const version = this.configuration.version + 1;
    const configured = routes.map((changes) => ({ ...ROUTE, ...changes }));
    this.configuration = { ...this.configuration, version, routes: configured };
    this.#owners.at(-1)?.post({ kind: 'configured' });
  }

  /** Accepts a submission; `schedule` changes when it runs. */
  async submit(
    id: string,
    steps: readonly Partial<Step>[],
    schedule: { iterations?: number; firstRunAt?: number; intervalMs?: number } = {},
  ): Promise<void> {
    const job = createStoredJob(
      id,
      steps.map((step) => ({ ...STEP_DEFAULTS, ...step })),
    );
    const submission = { ...job.submission, ...schedule };
    const value = encodeStoredJob({ ...job, submission });
    await this.#put(INTAKE_TABLE, getIntakePart(id), id, value);
  }

  /** Lists the keys of the stored rows of progress. */
  listLedgerKeys(): readonly string[] {
    return this.store.listKeys(LEDGER_TABLE);
  }

  /** Waits until the targets have begun this many runs; returns the targets by task. */
  async waitForStarts(count: number): Promise<Record<string, string>> {
    await waitUntil(() => this.targets.starts.length >= count);
    return Object.fromEntries(this.targets.starts.map(({ task, target }) => [task, target]));
  }

  close(): void {
    this.owner.close();
  }

  #createOwner(epoch: number, version: number): Owner {
    const lease = {
      ...PREDECESSOR,
      incarnation: String(epoch),
      epoch: epoch - 1,
      targetLeaseMs: TARGET_LEASE_MS,
    };
    const predecessor = epoch > 1 ? lease : undefined;
    return new Owner({
      term: { epoch, token: epoch, fenceVersion: version, predecessor },
      store: this.store,
      pageSizer: new PageSizer(Infinity),
      clock: this.clock,
      logger: new Logger(),
      bounds: {
        leaseMaximumMs: 10_000,
        stopMs: 900,
        remoteFactor: 2,
        statusMs: 120_000,
        holderChangeMs: 3_000,
      },
      targetPort: this.targets,
      listSuccessors: () => [],
      registry: {
        table: REGISTRY_TABLE,
        decode: (_, value) => JSON.parse(value) as TargetEntry,
      },
      getOperatorView: () => ({
        configuration: this.configuration,
        evacuated: new Set<string>(),
        waves: [],
      }),
      advicePort: undefined,
      vmPort: undefined,
      admissionPort: undefined,
      hasFreshLease: () => true,
      hasValidLease: () => true,
      encodeWaveStatus: (wave) => ({ table: 'status', key: String(wave), value: '' }),
      onDeposed: () => undefined,
    });
  }

  async #put(table: string, part: string, key: string, value: string): Promise<void> {
    const puts = [{ table, part, key, value }];
    await this.store.commit({ conditions: [], puts, removals: [] });
  }
}
