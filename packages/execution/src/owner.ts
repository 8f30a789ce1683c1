import { AttemptPhase } from '@currantgap/jobs';
import { JobState } from '@currantgap/model';
import type { Term, TermReport } from '@currantgap/ownership';
import { DurationModel } from '@currantgap/scheduling';
import { FeedConsumer, type Row, type Store } from '@currantgap/store';
import { Task, type Clock } from '@currantgap/tasks';
import type { Logger } from '@currantgap/telemetry';
import { AdviceDesk } from './advice-desk.ts';
import { Caution } from './caution.ts';
import { Cleaner } from './cleaner.ts';
import type { OwnerBounds, OwnerContext } from './context.ts';
import { Drainer } from './drainer.ts';
import { Fleet } from './fleet.ts';
import { Holds } from './holds.ts';
import { Intake } from './intake.ts';
import { INTAKE_PARTS, INTAKE_TABLE, JobBook, type JobRecord } from './job-book.ts';
import { Ledger, LEDGER_TABLE } from './ledger.ts';
import type { OperatorView, OwnerMessage } from './messages.ts';
import { getLeaseMs, isUncertain, Orders } from './orders.ts';
import { readOwned } from './owned-rows.ts';
import { Pacer } from './pacer.ts';
import { Planner } from './planner.ts';
import { PoolArrivals } from './pool-arrivals.ts';
import { HoldFault, StartOutcome, type AdvicePort, type TargetPort, type VmPort } from './ports.ts';
import { RegistryReader, type Registry } from './registry-reader.ts';
import { Reports } from './reports.ts';
import { LoadReporter } from './pool-load.ts';
import { Settling } from './settling.ts';
import { CLOCK_RATE } from './target-record.ts';
import { VmWork } from './vm-work.ts';
import { WAVE_TABLE, type EncodeWaveStatus } from './wave-keeper.ts';

/** Milliseconds between rounds over all targets and jobs. */
const TICK_MS = 100;
/** Milliseconds in which events gather for one plan. */
const PLAN_GATHER_MS = 4;
/** Milliseconds between an answer of the intake's feed and the next poll. */
const INTAKE_PAUSE_MS = 15;
/** Milliseconds between an answer of the registry's feed and the next poll. */
const REGISTRY_PAUSE_MS = 150;
/** Milliseconds beyond a computed lapse before a run counts as gone. */
const LAPSE_MARGIN_MS = 100;

/** Options of one term's owner. */
export interface OwnerOptions {
  readonly term: Term;
  readonly store: Store;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly bounds: OwnerBounds;
  readonly targetPort: TargetPort;
  readonly registry: Registry;
  readonly getOperatorView: () => OperatorView;
  /** Undefined where the deployment has no advice service. */
  readonly advicePort: AdvicePort | undefined;
  /** Undefined where the deployment has no VM service. */
  readonly vmPort: VmPort | undefined;
  /** Tells whether this node's lease was renewed just now. */
  readonly isCertain: () => boolean;
  /** Tells whether the lease is renewed and so no other node can have taken over. */
  readonly isConfirmed: () => boolean;
  readonly encodeWaveStatus: EncodeWaveStatus;
  /** Told once when another node has taken over. */
  readonly onDeposed: (reason: string) => void;
}

/** Decides all for one term: order, placement, stops and what is noted. */
export class Owner extends Task<OwnerMessage> {
  readonly #options: OwnerOptions;
  readonly #context: OwnerContext;
  readonly #orders: Orders;
  readonly #reports: Reports;
  readonly #holds: Holds;
  readonly #registry: RegistryReader;
  readonly #planner: Planner;
  readonly #advice: AdviceDesk;
  readonly #sweepers: readonly { sweep(): void }[];
  readonly #vmWork: VmWork | undefined;
  readonly #intake: Intake;
  readonly #followers: FeedConsumer[] = [];
  #ticker: NodeJS.Timeout | undefined;
  #isPlanDue = false;
  #isLoaded = false;
  #isEnded = false;

  constructor(options: OwnerOptions) {
    super();
    this.#options = options;
    this.#context = this.#buildContext();
    this.#orders = new Orders(this.#context);
    this.#reports = new Reports(this.#context, this.#orders);
    this.#holds = new Holds(this.#context);
    this.#registry = new RegistryReader(this.#context, options.registry);
    this.#advice = new AdviceDesk(this.#context, options.advicePort);
    this.#planner = new Planner(this.#context, this.#orders, this.#advice);
    this.#sweepers = [
      this.#advice,
      new Drainer(this.#context, this.#orders),
      new Pacer(this.#context),
      new Cleaner(this.#context, options.store),
      new LoadReporter(this.#context),
    ];
    this.#intake = new Intake(this.#context, this.#orders, this.#reports);
    this.#vmWork = this.#buildVmWork();
  }

  /** Reads what earlier terms left and begins to decide. */
  async open(): Promise<void> {
    this.start();
    const { store } = this.#options;
    const isWanted = (): boolean => !this.#isEnded;
    this.#context.jobs.loadLedger(await readOwned(store, LEDGER_TABLE, isWanted));
    this.#vmWork?.load(await readOwned(store, WAVE_TABLE, isWanted));
    this.#follow(INTAKE_TABLE, INTAKE_PARTS, INTAKE_PAUSE_MS, 'intake');
    this.#ticker = setInterval(() => {
      this.post({ kind: 'tick' });
    }, TICK_MS);
  }

  /** Stops deciding; what is changed and not written is written once more on a hand-over. */
  async close(isHandOver: boolean): Promise<void> {
    if (this.#isEnded) return;
    this.#isEnded = true;
    clearInterval(this.#ticker);
    for (const follower of this.#followers) follower.stop();
    if (isHandOver) await this.#context.ledger.flush();
    this.#context.ledger.stop();
    this.stop();
  }

  /** What a successor must know. */
  describeTerm(): TermReport {
    const { clock, fleet, settling } = this.#context;
    const { now } = clock;
    const leased = new Map(settling.listAwaited(now).map((target) => [target.id, target]));
    for (const target of fleet.listLeased(now)) {
      if (!leased.has(target.id)) leased.set(target.id, target);
    }
    return { targets: [...leased.values()], vmOrderAgeMs: this.#vmWork?.orderAgeMs };
  }

  /** A renewal was written. */
  handleRenewed(report: TermReport): void {
    this.#context.fleet.openWritten(report.targets);
  }

  /** State of a job as callers may see it; undefined where the job is not known here. */
  findState(id: string): JobState | undefined {
    const job = this.#context.jobs.find(id);
    if (job === undefined) return undefined;
    if (!job.isEnded) return job.hasStarted ? JobState.Running : JobState.Pending;
    const isStored = job.storedState === job.state;
    return isStored || job.state === JobState.Cancelled ? job.state : JobState.Running;
  }

  /** Counts a route's jobs of which no task has started; undefined before all are read. */
  countWaiting(route: string): number | undefined {
    if (!this.#isLoaded) return undefined;
    const records = [...this.#context.active.values()];
    return records.filter(({ job }) => job.stored.route === route && !job.hasStarted).length;
  }

  protected handle(message: OwnerMessage): void {
    if (this.#isEnded) return;
    switch (message.kind) {
      case 'intake':
        this.#applyIntake(message.rows, message.isWhole);
        break;
      case 'registry':
        this.#registry.apply(message.rows, message.isWhole);
        this.#holds.sendDue();
        break;
      case 'configured':
        this.#intake.refreshRoutes();
        break;
      case 'held':
        this.#applyHeld(message);
        break;
      case 'looked':
        this.#applyLooked(message);
        break;
      case 'started':
        this.#orders.applyStarted(message.target, message.assignment, message.outcome);
        if (message.outcome === StartOutcome.Unknown) this.#holds.look(message.target);
        if (message.outcome === StartOutcome.TicketInvalid) {
          this.#advice.drop(message.assignment.task.step, message.target.id);
        }
        break;
      case 'stopped':
        this.#orders.applyStopped(message.target, message.assignment, message.outcome);
        if (isUncertain(message.assignment)) this.#holds.look(message.target);
        break;
      case 'written':
        this.#holds.recordWritten(message.generation);
        return;
      case 'tick':
        this.#sweep();
        break;
      case 'plan':
        this.#isPlanDue = false;
        this.#planner.plan();
        return;
    }
    this.#schedulePlan();
  }

  #buildContext(): OwnerContext {
    const { term, clock, logger, bounds, targetPort, store, getOperatorView } = this.#options;
    const depose = (reason: string): void => {
      if (!this.#isEnded) this.#options.onDeposed(reason);
    };
    const post = (message: OwnerMessage): void => {
      if (!this.post(message) && !this.#isEnded) {
        logger.writeError('owner mailbox full', { kind: message.kind });
      }
    };
    const ledger = new Ledger({
      store,
      term,
      logger,
      onWritten: (generation) => {
        post({ kind: 'written', generation });
      },
      onFenced: () => {
        depose('the fence has changed');
      },
    });
    const leaseMs = getLeaseMs(bounds) / CLOCK_RATE;
    const fleet = new Fleet();
    return {
      term,
      clock,
      logger,
      bounds,
      targetPort,
      fleet,
      caution: new Caution(fleet, clock, this.#options.isConfirmed),
      jobs: new JobBook(logger),
      active: new Map<string, JobRecord>(),
      arrivals: new PoolArrivals(),
      ledger,
      durations: new DurationModel(),
      settling: new Settling(term, leaseMs, clock.now),
      getOperatorView,
      post,
      depose,
    };
  }

  #buildVmWork(): VmWork | undefined {
    const { vmPort, isCertain, store, encodeWaveStatus } = this.#options;
    if (vmPort === undefined) return undefined;
    return new VmWork({
      context: this.#context,
      orders: this.#orders,
      reports: this.#reports,
      store,
      port: vmPort,
      isCertain,
      encodeWaveStatus,
    });
  }

  #follow(
    table: string,
    parts: readonly string[],
    pauseMs: number,
    kind: 'intake' | 'registry',
  ): void {
    const follower = new FeedConsumer({
      store: this.#options.store,
      table,
      parts,
      pauseMs,
      onRows: (rows, isWhole) => {
        this.#context.post({ kind, rows, isWhole });
      },
    });
    this.#followers.push(follower);
    void follower.run();
  }

  #applyIntake(rows: readonly Row[], isWhole: boolean): void {
    const isFirst = isWhole && !this.#isLoaded;
    this.#intake.apply(rows, isFirst);
    if (!isFirst) return;
    this.#isLoaded = true;
    this.#context.logger.writeInfo('jobs read', { active: this.#context.active.size });
    this.#follow(this.#options.registry.table, [''], REGISTRY_PAUSE_MS, 'registry');
  }

  #applyLooked({ target, report, sentAt }: OwnerMessage & { kind: 'looked' }): void {
    if (report.isErr()) return;
    const generation = this.#reports.apply(target, report.value, sentAt);
    this.#holds.recordEnds(target, generation);
  }

  #applyHeld(message: OwnerMessage & { kind: 'held' }): void {
    const { logger, depose } = this.#context;
    const { target, report, sentAt } = message;
    target.isHolding = false;
    if (report.isOk()) {
      const generation = this.#reports.apply(target, report.value, sentAt);
      this.#holds.continue(target, generation);
      return;
    }
    if (report.error === HoldFault.Fenced) {
      depose(`target ${target.id} has seen a higher token`);
      return;
    }
    if (target.silences === 0) {
      logger.writeWarning('target silent', { target: target.id, reason: report.error });
    }
    this.#holds.recordSilence(target);
    if (report.error === HoldFault.OtherLifetime) {
      this.#context.settling.record(target.id);
      this.#reports.loseAll(target, 'another lifetime answers');
    }
  }

  #sweep(): void {
    const { clock, fleet } = this.#context;
    const { now } = clock;
    for (const target of [...fleet.targets]) {
      if (target.assignmentCount > 0 && now > target.lapsesAt + LAPSE_MARGIN_MS) {
        this.#reports.loseAll(target, 'lease lapsed');
      }
      for (const { task, attempt } of target.assignments) {
        if (attempt.phase === AttemptPhase.Stopping)
          this.#orders.stop({ task, attempt }, 'repeated');
      }
    }
    this.#holds.sendDue();
    this.#vmWork?.sweep();
    for (const sweeper of this.#sweepers) sweeper.sweep();
  }

  #schedulePlan(): void {
    if (this.#isPlanDue || !this.#isLoaded) return;
    this.#isPlanDue = true;
    setTimeout(() => {
      this.#context.post({ kind: 'plan' });
    }, PLAN_GATHER_MS);
  }
}
