import { STEP_DEFAULTS, type Job } from '@currantgap/jobs';
import {
  TargetState,
  type Configuration,
  type EndKind,
  type Resources,
  type Route,
  type Step,
  type StoredJob,
  type TargetEntry,
} from '@currantgap/model';
import { FENCE_ROW, type LeaseRow, type Term } from '@currantgap/ownership';
import { DurationModel } from '@currantgap/scheduling';
import { MemoryStore } from '@currantgap/standins';
import { VirtualClock } from '@currantgap/tasks';
import { Logger, setLogSink } from '@currantgap/telemetry';
import { err, type Result } from 'neverthrow';
import type { OwnerContext } from '../src/context.ts';
import { Caution } from '../src/caution.ts';
import { Fleet } from '../src/fleet.ts';
import { getIntakePart, INTAKE_TABLE, JobBook, type JobRecord } from '../src/job-book.ts';
import { Ledger } from '../src/ledger.ts';
import type { OwnerMessage } from '../src/messages.ts';
import { PoolArrivals } from '../src/pool-arrivals.ts';
import {
  HoldFault,
  OrderOutcome,
  StartOutcome,
  TargetPort,
  type EndedRun,
  type HoldOrder,
  type PaceOrder,
  type RunningRun,
  type RunOrder,
  type StartOrder,
  type TargetAddress,
  type TargetReport,
} from '../src/ports.ts';
import { Settling } from '../src/settling.ts';
import type { TargetRecord } from '../src/target-record.ts';

setLogSink(() => undefined);

export const CORE = 1_000;
export const LEASE_MS = 4_000;

export const STEP: Step = {
  ...STEP_DEFAULTS,
  count: 1,
  request: { cpuMillis: CORE, memoryMb: 1_024, gpus: 0 },
  estimatedMs: 1_000,
};

export const ROUTE: Route = {
  name: 'checks',
  host: 'host.example',
  pathPrefix: '/checks/',
  service: 'kartes',
  priority: 0,
  maxAttempts: 2,
  stretch: 1.6,
  latencyObjectiveMs: 600,
  isPublic: false,
  advice: undefined,
};

const NO_CAP: Resources = { cpuMillis: 0, memoryMb: 0, gpus: 0 };

export function createConfiguration(cap: Resources = NO_CAP): Configuration {
  return {
    version: 1,
    routes: [ROUTE],
    services: [{ name: 'kartes', isCapacityEnforced: true, isSpare: false }],
    teams: [{ name: 'kurzeme', keys: ['key'], weight: 10, cap }],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  };
}

export function createStoredJob(id: string, steps: readonly Partial<Step>[]): StoredJob {
  return {
    id,
    route: ROUTE.name,
    team: 'kurzeme',
    acceptedAt: 0,
    submission: {
      spec: 'spec',
      steps: steps.map((step) => ({ ...STEP, ...step })),
      iterations: 0,
      firstRunAt: 0,
      intervalMs: 0,
    },
  };
}

export function createTarget(id: string, changes: Partial<TargetEntry> = {}): TargetEntry {
  return {
    id,
    bornAt: 1,
    address: `${id}:1`,
    service: 'kartes',
    dataCentre: 'riga-a',
    vm: `vm-${id}`,
    state: TargetState.Ready,
    capacity: { cpuMillis: 4 * CORE, memoryMb: 16_384, gpus: 0 },
    labels: ['a', 'r1'],
    remainingMs: undefined,
    ...changes,
  };
}

/** Targets that note what they are told and answer as a test says. */
export class ScriptedTargets extends TargetPort {
  readonly starts: (StartOrder & { target: string })[] = [];
  readonly stops: (RunOrder & { target: string })[] = [];
  readonly holds: (HoldOrder & { target: string })[] = [];
  readonly paces: number[] = [];
  /** Changes of pace get no answer. */
  areOrdersLost = false;
  startOutcome = StartOutcome.Accepted;
  stopOutcome = OrderOutcome.Accepted;

  async start(target: TargetAddress, order: StartOrder): Promise<StartOutcome> {
    this.starts.push({ ...order, target: target.id });
    return Promise.resolve(this.startOutcome);
  }

  async stop(target: TargetAddress, order: RunOrder): Promise<OrderOutcome> {
    this.stops.push({ ...order, target: target.id });
    return Promise.resolve(this.stopOutcome);
  }

  async hold(target: TargetAddress, order: HoldOrder): Promise<Result<TargetReport, HoldFault>> {
    this.holds.push({ ...order, target: target.id });
    return Promise.resolve(err(HoldFault.NoAnswer));
  }

  async setPace(_: TargetAddress, order: PaceOrder): Promise<OrderOutcome> {
    this.paces.push(order.percent);
    return Promise.resolve(this.areOrdersLost ? OrderOutcome.Unknown : OrderOutcome.Accepted);
  }
}

/** Options of a harness. */
export interface HarnessOptions {
  readonly predecessor?: LeaseRow;
  readonly cap?: Resources;
}

/** One term with its parts, on virtual time and without a network. */
export class TermHarness {
  readonly clock = new VirtualClock();
  readonly store = new MemoryStore();
  readonly targets = new ScriptedTargets();
  readonly messages: OwnerMessage[] = [];
  readonly depositions: string[] = [];
  readonly written: number[] = [];
  readonly context: OwnerContext;
  readonly fleet = new Fleet();
  isConfirmed = true;
  evacuated = new Set<string>();
  configuration: Configuration;

  constructor(options: HarnessOptions = {}) {
    this.configuration = createConfiguration(options.cap);
    this.clock.advanceTo(10_000);
    const term: Term = {
      epoch: 1,
      token: 7,
      fenceVersion: 1,
      predecessor: options.predecessor,
      predecessorAgeMs: 2_000,
    };
    const logger = new Logger();
    this.context = {
      term,
      clock: this.clock,
      logger,
      bounds: {
        leaseMaximumMs: 10_000,
        stopMs: 900,
        remoteFactor: 2,
        statusMs: 120_000,
        holderChangeMs: 3_000,
      },
      targetPort: this.targets,
      fleet: this.fleet,
      caution: new Caution(this.fleet, this.clock, () => this.isConfirmed),
      jobs: new JobBook(logger),
      active: new Map<string, JobRecord>(),
      arrivals: new PoolArrivals(),
      ledger: new Ledger({
        store: this.store,
        term,
        logger,
        onWritten: (generation) => this.written.push(generation),
        onFenced: () => this.depositions.push('fenced'),
      }),
      durations: new DurationModel(),
      settling: new Settling(term, LEASE_MS, this.clock.now),
      getOperatorView: () => ({
        configuration: this.configuration,
        evacuated: this.evacuated,
        waves: [],
      }),
      post: (message) => this.messages.push(message),
      depose: (reason) => this.depositions.push(reason),
    };
  }

  get now(): number {
    return this.clock.now;
  }

  /** Lets virtual time pass. */
  pass(ms: number): void {
    this.clock.advanceTo(this.clock.now + ms);
  }

  /** Writes the fence row, so that the ledger's condition holds. */
  async openFence(): Promise<void> {
    const puts = [{ ...FENCE_ROW, value: '1' }];
    await this.store.commit({ conditions: [], puts, removals: [] });
  }

  addJob(id: string, steps: readonly Partial<Step>[], isInherited = false): Job {
    const stored = createStoredJob(id, steps);
    const value = JSON.stringify(stored);
    const intake = { table: INTAKE_TABLE, part: getIntakePart(id) };
    const row = { ...intake, key: id, value, version: 1, isDeleted: false };
    const change = this.context.jobs.applyRow(row);
    if (change === undefined) throw new Error(`job ${id} is known already`);
    const { job } = change;
    this.context.active.set(id, {
      job,
      arrivedAt: this.now,
      isInherited,
      isWithinWeight: true,
      route: ROUTE,
    });
    return job;
  }

  /** Registers a target that has reported already. */
  addTarget(id: string, changes: Partial<TargetEntry> = {}): TargetRecord {
    const target = this.context.fleet.register(createTarget(id, changes), 0);
    target.readClock(100, this.now);
    target.reportedAt = this.now;
    target.isListed = true;
    return target;
  }
}

export function createReport(changes: Partial<TargetReport> = {}): TargetReport {
  return { clockMs: 100, bornAt: 1, running: [], ended: [], ...changes };
}

export function createRunning(task: string, run: number): RunningRun {
  return { task, run, checkpoint: '', percent: 50, reading: 0 };
}

export function createEnded(sequence: number, task: string, run: number, kind: EndKind): EndedRun {
  return { sequence, task, run, kind, checkpoint: '' };
}

/** Lets answers that have arrived be applied. */
export async function settle(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}
