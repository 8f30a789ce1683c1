import type { Configuration, Wave } from '@currantgap/model';
import type { Row } from '@currantgap/store';
import type { Result } from 'neverthrow';
import type { LeaseRenewalFault, OrderOutcome, StartOutcome, TargetReport } from './ports.ts';
import type { Assignment, TargetRecord } from './target-record.ts';

/** Messages that the owner's task processes. */
export type OwnerMessage =
  /** Rows of the intake: a snapshot of all rows, or the changed rows. */
  | { readonly kind: 'intake'; readonly rows: readonly Row[]; readonly isSnapshot: boolean }
  /** All submissions that were stored up to this monotonic time, in milliseconds, were passed on. */
  | { readonly kind: 'intake-current'; readonly currentAt: number }
  /** Rows of the target registry: a snapshot of all rows, or the changed rows. */
  | { readonly kind: 'registry'; readonly rows: readonly Row[]; readonly isSnapshot: boolean }
  /** The configuration has changed. */
  | { readonly kind: 'configured' }
  /** Result of a lease renewal. */
  | {
      readonly kind: 'held';
      readonly target: TargetRecord;
      /** Number of the renewal; later ones of the same target have higher numbers. */
      readonly renewal: number;
      /** Highest sequence of ended runs that it acknowledged. */
      readonly acknowledgedThrough: number;
      /** Monotonic time at which the renewal was sent, in milliseconds. */
      readonly sentAt: number;
      /** Incarnation of the target that was known when the renewal was sent. */
      readonly knownBornAt: number | undefined;
      /** Fencing token of the renewal. */
      readonly token: number;
      readonly report: Result<TargetReport, LeaseRenewalFault>;
    }
  /** Result of a report that was requested outside the renewals. */
  | {
      readonly kind: 'looked';
      readonly target: TargetRecord;
      /** Monotonic time at which the request was sent, in milliseconds. */
      readonly sentAt: number;
      /** Incarnation of the target that was known when the request was sent. */
      readonly knownBornAt: number | undefined;
      /** Fencing token of the request. */
      readonly token: number;
      readonly report: Result<TargetReport, LeaseRenewalFault>;
    }
  /** Answer to a start order. */
  | {
      readonly kind: 'started';
      readonly target: TargetRecord;
      readonly assignment: Assignment;
      readonly outcome: StartOutcome;
    }
  /** Answer to a stop order. */
  | {
      readonly kind: 'stopped';
      readonly target: TargetRecord;
      readonly assignment: Assignment;
      /** Incarnation of the target that was known when the stop was sent. */
      readonly knownBornAt: number | undefined;
      /** Fencing token of the stop. */
      readonly token: number;
      readonly outcome: OrderOutcome;
    }
  /** The ledger is stored up to and including a change. */
  | { readonly kind: 'written'; readonly changeNumber: number }
  /** Probes the silent targets whose next incarnations must be fenced off. */
  | { readonly kind: 'probe' }
  /** Places the waiting tasks. */
  | { readonly kind: 'plan' }
  /** Runs the periodic work. */
  | { readonly kind: 'tick' };

/** Operator settings in force, as last read by this node. */
export interface OperatorView {
  readonly configuration: Configuration | undefined;
  /** Data centres that are taken out of service. */
  readonly evacuated: ReadonlySet<string>;
  /** Maintenance waves. */
  readonly waves: Iterable<Wave>;
}
