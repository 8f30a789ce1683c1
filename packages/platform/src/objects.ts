import type { Fault } from '@currantgap/model';
import type { Result } from 'neverthrow';

/** The platform's object store; objects are named by the hash of their content. */
export abstract class ObjectStore {
  /** Gets an object; fails with `NotFound`, `Unavailable`, or `Conflict` when its hash differs. */
  abstract get(hash: string): Promise<Result<string, Fault>>;

  /** Puts an object and returns its hash. Fails with `Unavailable`. */
  abstract put(text: string): Promise<Result<string, Fault>>;
}

/** Whether a VM of the platform's list runs. */
export enum VmCondition {
  Live = 'live',
  Leaving = 'leaving',
}

/** A line of the platform's list, which lags. */
export interface ListedVm {
  readonly name: string;
  readonly condition: VmCondition;
}

/** The platform's VM service. */
export abstract class VmService {
  /** Lists live and leaving VMs. Fails with `Unavailable`. */
  abstract list(): Promise<Result<readonly ListedVm[], Fault>>;
}
