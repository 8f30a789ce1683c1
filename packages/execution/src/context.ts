import type { DurationModel } from '@currantgap/estimation';
import type { Feature, Route } from '@currantgap/model';
import type { Term } from '@currantgap/ownership';
import type { Clock } from '@currantgap/tasks';
import type { Logger } from '@currantgap/telemetry';
import type { PartitionGuard } from './partition-guard.ts';
import type { CrashDetector } from './crash-detector.ts';
import type { DurationRecorder } from './duration-recorder.ts';
import type { FencedWriter } from './fenced-writer.ts';
import type { Fleet } from './fleet.ts';
import type { JobIndex, JobRecord } from './job-index.ts';
import type { LeasePolicy } from './lease-policy.ts';
import type { Ledger } from './ledger.ts';
import type { OperatorView, OwnerMessage } from './messages.ts';
import type { PoolArrivals } from './pool-arrivals.ts';
import type { TargetPort } from './ports.ts';
import type { Reconciliation } from './reconciliation.ts';
import type { RouteHistory } from './route-history.ts';
import type { SweepDelay } from './sweep-delay.ts';
import { MINIMUM_CLOCK_RATE } from './target-record.ts';
import type { TargetRoster } from './target-roster.ts';

/** Limits that the deployment sets; milliseconds unless stated otherwise. */
export interface OwnerBounds {
  /** Longest lease that a target grants. */
  readonly leaseMaximumMs: number;
  /** Longest time that a target takes to stop a run. */
  readonly stopMs: number;
  /** Slowdown factor of a task away from its data or across racks. */
  readonly remoteFactor: number;
  /** Time for which the state of an ended job stays readable. */
  readonly statusMs: number;
  /** Shortest time between orders of two lease holders for the same VM. */
  readonly holderChangeMs: number;
  /** Time that a VM takes to move between pools; 0 if unknown. */
  readonly moveMs?: number;
  /** Features that the deployment does not use; none if undefined. */
  readonly disabledFeatures?: ReadonlySet<Feature>;
}

/** State of one term, shared by the components of the owner's task. */
export interface OwnerContext {
  readonly term: Term;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly bounds: OwnerBounds;
  readonly targetPort: TargetPort;
  readonly fleet: Fleet;
  readonly crashes: CrashDetector;
  readonly jobs: JobIndex;
  /** Jobs that have not ended, by id. */
  readonly active: Map<string, JobRecord>;
  /** Arrival rate of work for each pool. */
  readonly arrivals: PoolArrivals;
  /** Writes the rows of ledger, roster and VM orders. */
  readonly writer: FencedWriter;
  readonly ledger: Ledger;
  readonly leasePolicy: LeasePolicy;
  readonly durations: DurationModel;
  readonly durationRecorder: DurationRecorder;
  readonly reconciliation: Reconciliation;
  readonly roster: TargetRoster;
  readonly routeHistory: RouteHistory;
  readonly partitionGuard: PartitionGuard;
  readonly sweepDelay: SweepDelay;
  readonly getOperatorView: () => OperatorView;
  /** Sends a message to the owner's own task. */
  readonly post: (message: OwnerMessage) => void;
  /** Ends the term because another node has taken over. */
  readonly depose: (reason: string) => void;
}

/** Computes the longest lease that a target grants, on this node's clock, in milliseconds. */
export function computeMaximumLeaseMs({ bounds }: Pick<OwnerContext, 'bounds'>): number {
  return bounds.leaseMaximumMs / MINIMUM_CLOCK_RATE;
}

/** Gets this node's wall clock time, Unix milliseconds. */
export function getWallNow(): number {
  return Date.now();
}

/** Gets the number of failed runs after which a task of the route fails; unlimited while it is not known. */
export function getMaximumAttempts(route: Route | undefined): number {
  return route?.maxAttempts ?? Infinity;
}

/** Lists the services on whose targets tasks of a job may run, also those that its route has left. */
export function listPossibleServices(
  { routeHistory }: OwnerContext,
  { job, route }: JobRecord,
): readonly string[] {
  const stored = routeHistory.listServices(job.stored.route);
  if (route === undefined || stored.includes(route.service)) return stored;
  return [...stored, route.service];
}
