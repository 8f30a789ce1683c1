import type { Fault } from '@currantgap/model';
import type { Result } from 'neverthrow';

/** The platform's object store. Objects are addressed by the hash of their content. */
export abstract class ObjectStore {
  /**
   * Gets the content of an object. Fails with `NotFound`, with `Unavailable`, or with `Conflict`
   * when the content does not match the hash.
   */
  abstract get(hash: string): Promise<Result<string, Fault>>;

  /** Stores an object and returns its hash. Fails with `Unavailable`. */
  abstract put(text: string): Promise<Result<string, Fault>>;
}

/** State of a VM in the platform's VM list. */
export enum VmCondition {
  Live = 'live',
  Leaving = 'leaving',
}

/** A VM in the platform's VM list, which may lag behind the actual state. */
export interface ListedVm {
  readonly name: string;
  readonly condition: VmCondition;
}

/** The platform's VM service, which lists the VMs. */
export abstract class VmService {
  /** Lists the live and the leaving VMs. Fails with `Unavailable`. */
  abstract list(): Promise<Result<readonly ListedVm[], Fault>>;
}
