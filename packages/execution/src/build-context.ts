import { DurationModel } from '@currantgap/estimation';
import type { Job } from '@currantgap/jobs';
import type { Term } from '@currantgap/ownership';
import type { Store } from '@currantgap/store';
import type { Clock } from '@currantgap/tasks';
import type { Logger } from '@currantgap/telemetry';
import { computeMaximumLeaseMs, type OwnerBounds, type OwnerContext } from './context.ts';
import { CrashDetector } from './crash-detector.ts';
import { DurationRecorder } from './duration-recorder.ts';
import { FencedWriter } from './fenced-writer.ts';
import { Fleet } from './fleet.ts';
import { JobIndex, type JobRecord } from './job-index.ts';
import { LeasePolicy } from './lease-policy.ts';
import { Ledger } from './ledger.ts';
import type { OperatorView, OwnerMessage } from './messages.ts';
import { PartitionGuard } from './partition-guard.ts';
import { PoolArrivals } from './pool-arrivals.ts';
import type { TargetPort } from './ports.ts';
import { Reconciliation } from './reconciliation.ts';
import { MINIMUM_CLOCK_RATE } from './target-record.ts';
import { SweepDelay } from './sweep-delay.ts';
import { RouteHistory } from './route-history.ts';
import { TargetRoster } from './target-roster.ts';

/** What a term's state is built from. */
export interface ContextOptions {
  readonly term: Term;
  readonly store: Store;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly bounds: OwnerBounds;
  readonly targetPort: TargetPort;
  readonly getOperatorView: () => OperatorView;
  /** Whether the ownership lease is still valid, so that no other node can have taken over. */
  readonly hasValidLease: () => boolean;
  /** Called with the ratio of a task's actual to its expected duration, and its route. */
  readonly observeDuration?: (route: string, ratio: number) => void;
}

/** Calls from the state of a term to its owner. */
export interface ContextCallbacks {
  /** Ends the term because another node has taken over. */
  readonly depose: (reason: string) => void;
  /** Sends a message to the owner's own task. */
  readonly post: (message: OwnerMessage) => void;
  /** Called when the end of a job is stored. */
  readonly onJobEnded: (job: Job) => void;
}

/** Builds the state of one term, which the components of the owner share. */
export function buildContext(options: ContextOptions, callbacks: ContextCallbacks): OwnerContext {
  const { term, clock, logger, bounds, targetPort, store, getOperatorView } = options;
  const { depose, post, onJobEnded } = callbacks;
  const writer = new FencedWriter({
    store,
    term,
    logger,
    onWritten: (changeNumber) => {
      post({ kind: 'written', changeNumber });
    },
    onFenced: () => {
      depose('the fence has changed');
    },
  });
  // Rows of the first owner have no predecessor that could have granted a lease.
  const predecessorLeaseMs = term.predecessor?.targetLeaseMs ?? 0;
  const fleet = new Fleet(term.token);
  const active = new Map<string, JobRecord>();
  const durations = new DurationModel();
  const arrivals = new PoolArrivals(durations);
  const reconciliation = new Reconciliation({
    leaseMs: predecessorLeaseMs / MINIMUM_CLOCK_RATE,
    maximumLeaseMs: computeMaximumLeaseMs({ bounds }),
    now: clock.now,
    arrivals,
    clock,
    getLatestStoreTime: () => store.latestNow,
  });
  return {
    term,
    clock,
    logger,
    bounds,
    targetPort,
    fleet,
    crashes: new CrashDetector({ clock, fleet, logger }),
    partitionGuard: new PartitionGuard(fleet, clock, options.hasValidLease),
    jobs: new JobIndex(logger),
    active,
    arrivals,
    ledger: new Ledger(writer, onJobEnded),
    leasePolicy: new LeasePolicy(bounds.leaseMaximumMs, {
      earlierLeaseMs: predecessorLeaseMs,
      earlierLeasesEndAt: reconciliation.deadline,
    }),
    durations,
    durationRecorder: new DurationRecorder({
      clock,
      fleet,
      durations,
      remoteFactor: bounds.remoteFactor,
      observe: options.observeDuration,
    }),
    reconciliation,
    sweepDelay: new SweepDelay(),
    roster: new TargetRoster({
      writer,
      logger,
      clock,
      fleet,
      reconciliation,
      getLatestStoreTime: () => store.latestNow,
    }),
    routeHistory: new RouteHistory({
      writer,
      logger,
      clock,
      fleet,
      reconciliation,
      active,
      getConfiguration: () => getOperatorView().configuration,
    }),
    writer,
    getOperatorView,
    post,
    depose,
  };
}
