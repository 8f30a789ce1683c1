import type { Job } from '@currantgap/jobs';
import { WeightMeter } from '@currantgap/scheduling';
import type { Row } from '@currantgap/store';
import { getWallNow, type OwnerContext } from './context.ts';
import type { JobArchiver } from './job-archiver.ts';
import type { JobRecord } from './job-index.ts';
import type { RunOrders } from './run-orders.ts';
import type { ReportProcessor } from './report-processor.ts';

/** Applies the rows of the intake table: accepted submissions and cancel requests. */
export class Intake {
  readonly #context: OwnerContext;
  readonly #orders: RunOrders;
  readonly #reportProcessor: ReportProcessor;
  readonly #archiver: JobArchiver;
  readonly #weights = new WeightMeter();

  constructor(options: {
    readonly context: OwnerContext;
    readonly orders: RunOrders;
    readonly reportProcessor: ReportProcessor;
    readonly archiver: JobArchiver;
  }) {
    this.#context = options.context;
    this.#orders = options.orders;
    this.#reportProcessor = options.reportProcessor;
    this.#archiver = options.archiver;
  }

  /** Applies rows; `isInherited` marks rows that were written before the term began. */
  apply(rows: readonly Row[], isInherited: boolean): void {
    for (const row of rows) this.#applyRow(row, isInherited);
  }

  /** Updates the routes of all active jobs; jobs of a removed route keep its last definition. */
  refreshRoutes(): void {
    const { active, routeHistory } = this.#context;
    routeHistory.refresh();
    for (const record of [...active.values()]) {
      const isNew = record.route === undefined;
      record.route = routeHistory.findDefinition(record.job.stored.route);
      if (isNew) this.#failIfExhausted(record);
    }
  }

  #applyRow(row: Row, isInherited: boolean): void {
    const { active, arrivals, clock, jobs, logger } = this.#context;
    const change = jobs.applyRow(row);
    if (change === undefined) return;
    if (change.kind === 'orphaned') {
      void this.#archiver.removeOrphan(change.id);
      return;
    }
    const { job } = change;
    logger.writeInfo(`job ${change.kind}`, {
      request: job.id,
      route: job.stored.route,
      team: job.stored.team,
      state: job.state,
      version: row.version,
    });
    const ageMs = isInherited ? Math.max(0, getWallNow() - job.stored.acceptedAt) : 0;
    if (isInherited) arrivals.recordEarlier(clock.now - ageMs);
    if (change.kind === 'cancelled') this.#cancel(job);
    else if (job.isEnded) this.#archiver.add(job);
    else {
      const record = this.#buildRecord(job, isInherited, clock.now - ageMs);
      active.set(job.id, record);
      if (record.route === undefined) {
        logger.writeWarning('route unknown', { request: job.id, route: job.stored.route });
      }
      if (!isInherited && record.route !== undefined) {
        arrivals.record(record.route.service, job, clock.now);
      }
    }
  }

  /** Fails a job whose tasks used up their attempts while the limit was not known. */
  #failIfExhausted({ job, route }: JobRecord): void {
    if (route === undefined || !job.failIfExhausted(route.maxAttempts)) return;
    for (const assignment of job.listAttempts()) this.#orders.stop(assignment, 'job failed');
    this.#reportProcessor.enqueueLedgerWrite(job.id);
  }

  #cancel(job: Job): void {
    for (const assignment of job.listAttempts()) this.#orders.stop(assignment, 'cancelled');
    this.#reportProcessor.enqueueLedgerWrite(job.id);
  }

  #buildRecord(job: Job, isInherited: boolean, arrivedAt: number): JobRecord {
    const { getOperatorView, routeHistory } = this.#context;
    const { team, acceptedAt, route } = job.stored;
    const { configuration } = getOperatorView();
    const weight = configuration?.teams.find(({ name }) => name === team)?.weight;
    return {
      job,
      arrivedAt,
      isInherited,
      isWithinWeight: weight === undefined || this.#weights.record(team, weight, acceptedAt),
      route:
        configuration?.routes.find(({ name }) => name === route) ??
        routeHistory.findDefinition(route),
    };
  }
}
