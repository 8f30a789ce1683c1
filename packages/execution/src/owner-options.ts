import type { Term } from '@currantgap/ownership';
import type { PageSizer, Store } from '@currantgap/store';
import type { Clock } from '@currantgap/tasks';
import type { Logger } from '@currantgap/telemetry';
import type { AdmissionPort } from './admission-publisher.ts';
import type { OwnerBounds } from './context.ts';
import type { CopyOutcome } from './copy-log.ts';
import type { OperatorView } from './messages.ts';
import type { AdvicePort, TargetPort, VmPort } from './ports.ts';
import type { Registry } from './registry-reader.ts';
import type { EncodeWaveStatus } from './wave-controller.ts';

/** Options of an owner; one owner is created for each ownership term. */
export interface OwnerOptions {
  readonly term: Term;
  readonly store: Store;
  /** Page size for this node's link to the store. */
  readonly pageSizer: PageSizer;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly bounds: OwnerBounds;
  readonly targetPort: TargetPort;
  /** Lists the nodes that should take over after this one, the most suitable one first. */
  readonly listSuccessors: () => readonly string[];
  readonly registry: Registry;
  readonly getOperatorView: () => OperatorView;
  /** Undefined if the deployment has no advice service. */
  readonly advicePort: AdvicePort | undefined;
  /** Undefined if the deployment has no VM service. */
  readonly vmPort: VmPort | undefined;
  /** Whether this node's lease was renewed recently enough to order VMs. */
  readonly hasFreshLease: () => boolean;
  /** Whether the ownership lease is still valid, so that no other node can have taken over. */
  readonly hasValidLease: () => boolean;
  readonly encodeWaveStatus: EncodeWaveStatus;
  /** Called with the ratio of a task's actual to its expected duration, and its route. */
  readonly observeDuration?: (route: string, ratio: number) => void;
  /** Called for each copy of a run that starts and that ends. */
  readonly onCopy?: (outcome: CopyOutcome) => void;
  /** Undefined if nothing is refused for load. */
  readonly admissionPort: AdmissionPort | undefined;
  /** Called when another node has taken over, but not after the owner was closed. */
  readonly onDeposed: (reason: string) => void;
}
