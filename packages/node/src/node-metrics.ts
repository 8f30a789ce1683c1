import type { Owner } from '@currantgap/execution';
import type { RefusalReason } from '@currantgap/admission';
import { RequestObserver } from '@currantgap/ingress';
import type { OperatorFeedConsumer } from './operator-feed-consumer.ts';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

const SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5];
/** Ratios of actual to expected durations. */
const RATIO_BUCKETS = [0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.4, 2, 3, 4, 8];
const MILLISECONDS_PER_SECOND = 1_000;

/** Prometheus metrics of one node. */
export class NodeMetrics extends RequestObserver {
  readonly registry = new Registry();

  readonly calls = new Counter({
    name: 'currantgap_calls_total',
    help: 'Calls of clients by method, route, team and status',
    labelNames: ['method', 'route', 'team', 'status'],
    registers: [this.registry],
  });

  readonly callSeconds = new Histogram({
    name: 'currantgap_call_seconds',
    help: 'Time from a call to its answer by route and team',
    labelNames: ['route', 'team'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  readonly isOwner = new Gauge({
    name: 'currantgap_owner',
    help: '1 while this node owns the fleet',
    registers: [this.registry],
  });

  readonly takeOvers = new Counter({
    name: 'currantgap_take_overs_total',
    help: 'Times that this node took the fleet over',
    registers: [this.registry],
  });

  readonly copies = new Counter({
    name: 'currantgap_copies_total',
    help: 'Copies of stragglers that this node as the owner started, and how they ended',
    labelNames: ['outcome'],
    registers: [this.registry],
  });

  readonly durationRatio = new Histogram({
    name: 'currantgap_task_duration_ratio',
    help: 'Ratio of the actual to the expected duration of tasks by route',
    labelNames: ['route'],
    buckets: RATIO_BUCKETS,
    registers: [this.registry],
  });

  readonly refusals = new Counter({
    name: 'currantgap_refusals_total',
    help: 'Submissions refused for load by route, team and reason',
    labelNames: ['route', 'team', 'reason'],
    registers: [this.registry],
  });

  readonly backlogCores = new Gauge({
    name: 'currantgap_backlog_cores',
    help: 'Cores that waiting tasks request, by service; set on the owner',
    labelNames: ['service'],
    registers: [this.registry],
  });

  readonly startSeconds = new Gauge({
    name: 'currantgap_start_seconds',
    help: 'Longest time until new work of a team could start, by service; set on the owner',
    labelNames: ['service'],
    registers: [this.registry],
  });

  /** Registers the gauges that are set on the owner. */
  registerOwner(getOwner: () => Owner | undefined): void {
    this.#registerShares(() => getOwner()?.computeShares() ?? new Map<string, never>());
    this.#registerIntake(() => getOwner()?.intakeCurrentAt);
  }

  /** Registers the gauges of what teams hold and are owed of the contended pools. */
  #registerShares(computeShares: Owner['computeShares']): void {
    const gauge = new Gauge({
      name: 'currantgap_pool_share',
      help: 'Dominant share of a contended pool, held and owed, by service and team; on the owner',
      labelNames: ['service', 'team', 'kind'],
      registers: [this.registry],
      collect: () => {
        gauge.reset();
        for (const [service, teams] of computeShares()) {
          for (const [team, { held, owed }] of teams) {
            gauge.set({ service, team, kind: 'held' }, held);
            gauge.set({ service, team, kind: 'owed' }, owed);
          }
        }
      },
    });
  }

  /** Registers the gauges of the configuration in force and of how old the knowledge of it is. */
  registerConfiguration(getFeed: () => OperatorFeedConsumer): void {
    const version = new Gauge({
      name: 'currantgap_configuration_version',
      help: 'Version of the configuration in force; 0 before the first one',
      registers: [this.registry],
      collect: () => {
        version.set(getFeed().routes?.configuration.version ?? 0);
      },
    });
    const age = new Gauge({
      name: 'currantgap_operator_feed_age_seconds',
      help: 'Seconds since the store last said what operators have written, or since the start',
      registers: [this.registry],
      collect: () => {
        age.set(getFeed().heardMs / MILLISECONDS_PER_SECOND);
      },
    });
  }

  /** Registers the gauge of how old the knowledge of accepted submissions is. */
  #registerIntake(getCurrentAt: () => number | undefined): void {
    const age = new Gauge({
      name: 'currantgap_intake_feed_age_seconds',
      help: 'Seconds since the time up to which the owner knows all accepted submissions; only on the owner',
      registers: [this.registry],
      collect: () => {
        const currentAt = getCurrentAt();
        // A reset would leave the value 0.
        if (currentAt === undefined) age.remove();
        else age.set((performance.now() - currentAt) / MILLISECONDS_PER_SECOND);
      },
    });
  }

  observeRefusal(route: string, team: string, reason: RefusalReason): void {
    this.refusals.inc({ route, team, reason });
  }

  observe(method: string, route: string, team: string, status: number, durationMs: number): void {
    this.calls.inc({ method, route, team, status });
    this.callSeconds.observe({ route, team }, durationMs / MILLISECONDS_PER_SECOND);
  }
}
