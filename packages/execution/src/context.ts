import type { Route } from '@currantgap/model';
import type { Term } from '@currantgap/ownership';
import type { DurationModel } from '@currantgap/scheduling';
import type { Clock } from '@currantgap/tasks';
import type { Logger } from '@currantgap/telemetry';
import type { Caution } from './caution.ts';
import type { Fleet } from './fleet.ts';
import type { JobIndex, JobRecord } from './job-index.ts';
import type { Ledger } from './ledger.ts';
import type { OperatorView, OwnerMessage } from './messages.ts';
import type { PoolArrivals } from './pool-arrivals.ts';
import type { TargetPort } from './ports.ts';
import type { Settling } from './settling.ts';

/** Bounds of the deployment that the owner keeps to; milliseconds. */
export interface OwnerBounds {
  /** Longest lease that a target grants. */
  readonly leaseMaximumMs: number;
  readonly stopMs: number;
  readonly remoteFactor: number;
  readonly statusMs: number;
  readonly holderChangeMs: number;
}

/** State of one term, shared by the parts of the owner's task. */
export interface OwnerContext {
  readonly term: Term;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly bounds: OwnerBounds;
  readonly targetPort: TargetPort;
  readonly fleet: Fleet;
  readonly jobs: JobIndex;
  /** Jobs that have not ended, by id. */
  readonly active: Map<string, JobRecord>;
  /** Rate of work that comes for each pool. */
  readonly arrivals: PoolArrivals;
  readonly ledger: Ledger;
  readonly durations: DurationModel;
  readonly settling: Settling;
  readonly caution: Caution;
  readonly getOperatorView: () => OperatorView;
  /** Sends a message to the owner's own task. */
  readonly post: (message: OwnerMessage) => void;
  /** Gives the term up. */
  readonly depose: (reason: string) => void;
}

/** Unix milliseconds of a context's node. */
export function getWallNow(): number {
  return Date.now();
}

/** Failures that a task of a route may have. */
export function getMaximumAttempts(route: Route | undefined): number {
  return route?.maxAttempts ?? 1;
}
