import type { Configuration, Wave } from '@currantgap/model';
import type { Row } from '@currantgap/store';
import type { Result } from 'neverthrow';
import type { HoldFault, OrderOutcome, StartOutcome, TargetReport } from './ports.ts';
import type { Assignment, TargetRecord } from './target-record.ts';

/** What reaches the owner's task. */
export type OwnerMessage =
  | { readonly kind: 'intake'; readonly rows: readonly Row[]; readonly isWhole: boolean }
  | { readonly kind: 'registry'; readonly rows: readonly Row[]; readonly isWhole: boolean }
  | { readonly kind: 'configured' }
  | {
      readonly kind: 'held';
      readonly target: TargetRecord;
      readonly sentAt: number;
      readonly report: Result<TargetReport, HoldFault>;
    }
  | {
      readonly kind: 'looked';
      readonly target: TargetRecord;
      readonly sentAt: number;
      readonly report: Result<TargetReport, HoldFault>;
    }
  | {
      readonly kind: 'started';
      readonly target: TargetRecord;
      readonly assignment: Assignment;
      readonly outcome: StartOutcome;
    }
  | {
      readonly kind: 'stopped';
      readonly target: TargetRecord;
      readonly assignment: Assignment;
      readonly outcome: OrderOutcome;
    }
  | { readonly kind: 'written'; readonly generation: number }
  | { readonly kind: 'plan' }
  | { readonly kind: 'tick' };

/** What operators have put in force, as the node knows it now. */
export interface OperatorView {
  readonly configuration: Configuration | undefined;
  readonly evacuated: ReadonlySet<string>;
  readonly waves: Iterable<Wave>;
}
