import type { JobState } from '@currantgap/model';
import type { TermReport } from '@currantgap/ownership';
import type { Row } from '@currantgap/store';
import { Task } from '@currantgap/tasks';
import { AdmissionPublisher } from './admission-publisher.ts';
import { AdviceCache } from './advice-cache.ts';
import { FenceProber } from './fence-prober.ts';
import { JobPurger } from './job-purger.ts';
import { buildContext } from './build-context.ts';
import type { OwnerContext } from './context.ts';
import { Drainer } from './drainer.ts';
import { DurationStore } from './duration-store.ts';
import { LeaseRenewer } from './lease-renewer.ts';
import { Intake } from './intake.ts';
import { JobArchiver } from './job-archiver.ts';
import { JobLookup } from './job-lookup.ts';
import { findJobState } from './job-state.ts';
import { LEDGER_TABLE } from './ledger.ts';
import type { OwnerMessage } from './messages.ts';
import type { JoinedRow } from './row-parts.ts';
import { RunExpiry } from './run-expiry.ts';
import { isUncertain, RunOrders } from './run-orders.ts';
import type { OwnerOptions } from './owner-options.ts';
import { Pacer } from './pacer.ts';
import { Planner } from './planner.ts';
import { isUnanswered, StartOutcome } from './ports.ts';
import { Quarantine } from './quarantine.ts';
import { RegistryReader } from './registry-reader.ts';
import { ReportProcessor } from './report-processor.ts';
import { ReportReceiver } from './report-receiver.ts';
import { LoadReporter } from './pool-load.ts';
import type { TargetRecord } from './target-record.ts';
import { ROUTE_TABLE } from './route-history.ts';
import { ROSTER_TABLE } from './target-roster.ts';
import { VmManager } from './vm-manager.ts';
import { StartWatch } from './start-watch.ts';
import { TermFeeds } from './term-feeds.ts';
import { VM_ORDER_TABLE } from './vm-order-log.ts';
import { countWaitingJobs, type WaitingCount } from './waiting-count.ts';
import { WAVE_TABLE } from './wave-controller.ts';

/** Milliseconds between periodic sweeps over all targets and jobs. */
const TICK_MS = 100;
/** Milliseconds for which events are batched into one planning run. */
const PLAN_BATCH_MS = 4;
/** Milliseconds for which leases are extended at a hand-over. */
const HAND_OVER_MS = 3_000;

/**
 * Schedules all jobs for one ownership term: decides which tasks start next, where they run and
 * which runs are stopped, and records the progress in the store.
 */
export class Owner extends Task<OwnerMessage> {
  readonly #options: OwnerOptions;
  readonly #context: OwnerContext;
  readonly #orders: RunOrders;
  readonly #reportProcessor: ReportProcessor;
  readonly #leaseRenewer: LeaseRenewer;
  readonly #reportReceiver: ReportReceiver;
  readonly #registry: RegistryReader;
  readonly #planner: Planner;
  readonly #startWatch: StartWatch;
  readonly #fenceProber: FenceProber;
  readonly #runExpiry: RunExpiry;
  readonly #advice: AdviceCache;
  readonly #archiver: JobArchiver;
  readonly #durationStore: DurationStore;
  readonly #sweepers: readonly { sweep(): void }[];
  readonly #vmManager: VmManager | undefined;
  readonly #intake: Intake;
  readonly #feeds: TermFeeds;
  #ticker: NodeJS.Timeout | undefined;
  #isPlanDue = false;
  #hasLoadedJobs = false;
  #intakeCurrentAt: number | undefined;
  #isHandingOver = false;
  #isClosed = false;

  constructor(options: OwnerOptions) {
    super();
    this.#options = options;
    this.#context = this.#buildContext();
    this.#archiver = new JobArchiver(this.#context, options.store);
    this.#orders = new RunOrders(this.#context);
    const lookup = new JobLookup(this.#context, options.store);
    this.#reportProcessor = new ReportProcessor(this.#context, this.#orders, lookup);
    this.#leaseRenewer = new LeaseRenewer(this.#context, this.#orders.startTimes);
    this.#reportReceiver = new ReportReceiver(
      this.#context,
      this.#reportProcessor,
      this.#leaseRenewer,
    );
    this.#runExpiry = new RunExpiry(this.#context, this.#orders, this.#reportProcessor);
    this.#registry = new RegistryReader(this.#context, options.registry);
    this.#advice = new AdviceCache(this.#context, options.advicePort);
    const requestReport = (target: TargetRecord): void => {
      this.#leaseRenewer.requestReport(target);
    };
    const quarantine = new Quarantine(this.#context.clock, requestReport);
    this.#planner = new Planner(this.#context, this.#orders, this.#advice, quarantine, {
      requestReport,
      onCopy: options.onCopy,
    });
    this.#startWatch = new StartWatch(this.#context, this.#orders, (target) => {
      this.#leaseRenewer.recordUnanswered();
      this.#leaseRenewer.requestReport(target);
    });
    this.#fenceProber = new FenceProber(this.#context, this.#leaseRenewer);
    this.#durationStore = new DurationStore(this.#context, options.store, options.pageSizer);
    this.#sweepers = [
      this.#advice,
      new Drainer(this.#context, this.#orders),
      new Pacer(this.#context),
      lookup,
      this.#context.crashes,
      quarantine,
      this.#archiver,
      new JobPurger(this.#context, options.store, options.pageSizer),
      new LoadReporter(this.#context),
      this.#context.durationRecorder,
      this.#context.routeHistory,
      this.#durationStore,
      new AdmissionPublisher(
        this.#context,
        options.admissionPort,
        // Without a VM service, the registered targets are all that there is.
        () => (this.#vmManager === undefined ? [] : this.#vmManager.listVms()),
      ),
    ];
    this.#intake = new Intake({
      context: this.#context,
      orders: this.#orders,
      reportProcessor: this.#reportProcessor,
      archiver: this.#archiver,
    });
    if (options.vmPort !== undefined)
      this.#vmManager = new VmManager({
        ...options,
        context: this.#context,
        orders: this.#orders,
        reportProcessor: this.#reportProcessor,
        port: options.vmPort,
      });
    this.#feeds = new TermFeeds({
      context: this.#context,
      store: options.store,
      pageSizer: options.pageSizer,
      progressTables: [ROSTER_TABLE, ROUTE_TABLE, LEDGER_TABLE, WAVE_TABLE, VM_ORDER_TABLE],
      registryTable: options.registry.table,
      onProgress: (getRows) => {
        this.#loadProgress(getRows);
      },
    });
  }

  /** Loads what earlier terms have stored and starts scheduling. */
  open(): void {
    this.start();
    this.#feeds.open();
    this.#ticker = setInterval(() => {
      this.post({ kind: 'tick' });
    }, TICK_MS);
  }

  /**
   * Prepares a planned hand-over: starts nothing more, but renews the leases on targets until `close`,
   * so that no run ends before a successor has taken over. Tries once to write the pending progress.
   */
  async beginHandOver(): Promise<void> {
    const { clock, leasePolicy, writer } = this.#context;
    this.#isHandingOver = true;
    this.#feeds.close();
    this.#vmManager?.stop();
    leasePolicy.extend(clock.now + HAND_OVER_MS);
    await writer.flush();
  }

  /** Ends the term. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearInterval(this.#ticker);
    this.#fenceProber.stop();
    this.#feeds.close();
    this.#durationStore.stop();
    this.#context.writer.stop();
    this.#vmManager?.stop();
    this.stop();
  }

  /** Describes this term for the contenders. */
  describeTerm(): TermReport {
    const { clock, leasePolicy } = this.#context;
    return {
      isSettled: this.#hasLoadedJobs,
      successors: this.#options.listSuccessors(),
      targetLeaseMs: leasePolicy.computeAnnouncedMs(clock.now),
    };
  }

  /**
   * Records that a report of this term is stored, the version of the store and the milliseconds that the
   * store took.
   */
  recordRenewal({ targetLeaseMs }: TermReport, version: number, latencyMs: number): void {
    const { clock, leasePolicy, writer } = this.#context;
    writer.recordVersion(version);
    leasePolicy.recordAnnounced(targetLeaseMs);
    leasePolicy.recordStoreLatency(latencyMs, clock.now);
  }

  /**
   * Gets the state of a job that callers may see; undefined if this owner does not know the job.
   * A job that has completed or failed is reported as running until that state is in the store.
   */
  findState(id: string): JobState | undefined {
    return findJobState(this.#context.jobs, id);
  }

  /** Counts a route's jobs of which no task has begun; undefined until all jobs are loaded. */
  countWaiting(route: string): WaitingCount | undefined {
    const { active, term } = this.#context;
    const currentAt = this.#intakeCurrentAt;
    if (currentAt === undefined) return undefined;
    return { waiting: countWaitingJobs(active.values(), route), currentAt, epoch: term.epoch };
  }

  /**
   * Monotonic time in milliseconds up to which all accepted submissions are known; undefined until all
   * jobs are loaded.
   */
  get intakeCurrentAt(): number | undefined {
    return this.#intakeCurrentAt;
  }

  /** Computes the shares that the teams hold and are owed, by service; of contended pools only. */
  computeShares(): ReturnType<Planner['computeShares']> {
    return this.#planner.computeShares();
  }

  protected handle(message: OwnerMessage): void {
    if (this.#isClosed) return;
    switch (message.kind) {
      case 'intake':
        this.#applyIntake(message.rows, message.isSnapshot);
        break;
      case 'intake-current':
        this.#intakeCurrentAt = message.currentAt;
        return;
      case 'registry':
        this.#registry.apply(message.rows, message.isSnapshot);
        this.#context.roster.sweep();
        this.#leaseRenewer.sendDue();
        break;
      case 'configured':
        this.#intake.refreshRoutes();
        break;
      case 'held':
        this.#reportReceiver.applyRenewal(message);
        break;
      case 'looked':
        this.#reportReceiver.applyImmediate(message);
        break;
      case 'started':
        this.#orders.applyStartOutcome(message.target, message.assignment, message.outcome);
        if (isUnanswered(message.outcome) || !message.target.fence.isClosed)
          this.#leaseRenewer.requestReport(message.target);
        if (message.outcome === StartOutcome.TicketInvalid) {
          this.#advice.removeTicket(message.assignment.task.step, message.target.id);
        }
        break;
      case 'stopped':
        this.#orders.applyStopOutcome(message);
        if (isUncertain(message.assignment)) this.#leaseRenewer.requestReport(message.target);
        break;
      case 'probe':
        this.#fenceProber.sweep();
        return;
      case 'written':
        this.#leaseRenewer.recordWritten(message.changeNumber);
        return;
      case 'tick':
        this.#sweep();
        break;
      case 'plan':
        this.#isPlanDue = false;
        this.#startWatch.sweep();
        if (!this.#isHandingOver) this.#planner.plan();
        return;
    }
    this.#schedulePlan();
  }

  #buildContext(): OwnerContext {
    const { logger, onDeposed } = this.#options;
    return buildContext(this.#options, {
      depose: (reason) => {
        if (!this.#isClosed) onDeposed(reason);
      },
      post: (message) => {
        if (!this.post(message) && !this.#isClosed) {
          logger.writeError('owner mailbox full', { kind: message.kind });
        }
      },
      onJobEnded: (job) => {
        this.#archiver.add(job);
      },
    });
  }

  #loadProgress(getRows: (table: string) => readonly JoinedRow[]): void {
    const { jobs, reconciliation, roster, routeHistory, term } = this.#context;
    for (const target of term.predecessor?.targets ?? []) reconciliation.expectReport(target);
    roster.load(getRows(ROSTER_TABLE));
    routeHistory.load(getRows(ROUTE_TABLE));
    jobs.loadLedgerRows(getRows(LEDGER_TABLE));
    this.#vmManager?.load(getRows);
  }

  #applyIntake(rows: readonly Row[], isSnapshot: boolean): void {
    const isFirst = isSnapshot && !this.#hasLoadedJobs;
    this.#intake.apply(rows, isFirst);
    if (!isFirst) return;
    this.#hasLoadedJobs = true;
    this.#context.logger.writeInfo('jobs read', { active: this.#context.active.size });
    this.#feeds.recordJobsLoaded();
    void this.#durationStore.load();
  }

  #sweep(): void {
    this.#context.sweepDelay.recordSweep(this.#context.clock.now, TICK_MS);
    this.#runExpiry.sweep();
    this.#context.roster.sweep();
    this.#leaseRenewer.sendDue();
    this.#startWatch.sweep();
    this.#fenceProber.sweep();
    if (this.#isHandingOver) return;
    this.#vmManager?.sweep();
    for (const sweeper of this.#sweepers) sweeper.sweep();
    this.#reportProcessor.applyCrashes();
  }

  #schedulePlan(): void {
    if (this.#isPlanDue || !this.#hasLoadedJobs) return;
    this.#isPlanDue = true;
    setTimeout(() => {
      this.#context.post({ kind: 'plan' });
    }, PLAN_BATCH_MS);
  }
}
