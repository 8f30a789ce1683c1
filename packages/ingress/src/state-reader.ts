import {
  decodeEndedJob,
  decodeRefusal,
  ENDED_TABLE,
  getCancelKey,
  getIntakePart,
  INTAKE_TABLE,
  LEDGER_TABLE,
  type WaitingCount,
} from '@currantgap/execution';
import { readLedgerState } from '@currantgap/jobs';
import { JobState } from '@currantgap/model';
import { OWNER_PART } from '@currantgap/ownership';
import type { Store } from '@currantgap/store';

/** Reason why the owner returned no state for a submission. */
export enum OwnerLookupFault {
  /** The owner does not know the submission, or has not read it from the store yet. */
  Unknown = 'unknown',
  /** There is no owner, or it did not respond. */
  Unreachable = 'unreachable',
}

/** Queries the owner, in this process or on another node. */
export abstract class OwnerPort {
  /** Finds the state of a submission. */
  abstract findState(id: string): Promise<JobState | OwnerLookupFault>;
  /** Counts a route's submissions without a started task; undefined if there is no response. */
  abstract countWaiting(route: string): Promise<WaitingCount | undefined>;
}

/** Reason why the state of a submission could not be read. */
export enum LookupFault {
  /** The store has no such submission. */
  NotFound = 'not-found',
  /** The store could not be read. */
  Unavailable = 'unavailable',
}

/** Marks a submission that the intake holds, so that it may not have ended yet. */
export const OPEN = Symbol('open');

/** Reads the state of submissions from the owner, or from the store if the owner has none. */
export class StateReader {
  readonly #owner: OwnerPort;
  readonly #store: Store;

  constructor(owner: OwnerPort, store: Store) {
    this.#owner = owner;
    this.#store = store;
  }

  /** Finds the current state of a submission. */
  async findState(id: string): Promise<JobState | LookupFault> {
    const state = await this.#owner.findState(id);
    if (state !== OwnerLookupFault.Unknown && state !== OwnerLookupFault.Unreachable) return state;
    return this.#readState(id);
  }

  /** Finds whether the store has a submission: as open, or with the state in which it ended. */
  async findStorage(id: string): Promise<JobState | typeof OPEN | LookupFault> {
    const keys = await this.#readIntakeKeys(id);
    if (keys === undefined) return LookupFault.Unavailable;
    return keys.includes(id) ? OPEN : this.#readEndedState(id);
  }

  /**
   * Reads the ledger, then the intake, then the ended jobs, which is the order in which the owner
   * moves a submission: a state in the ledger was true when it was written, and a state never moves
   * backwards.
   */
  async #readState(id: string): Promise<JobState | LookupFault> {
    const page = await this.#store.read({
      table: LEDGER_TABLE,
      part: OWNER_PART,
      from: id,
      limit: 1,
    });
    if (page.isErr()) return LookupFault.Unavailable;
    const row = page.value.rows.find(({ key }) => key === id);
    const state = row === undefined ? undefined : readLedgerState(row.value);
    if (state !== undefined && state !== JobState.Pending && state !== JobState.Running)
      return state;
    const keys = await this.#readIntakeKeys(id);
    if (keys === undefined) return LookupFault.Unavailable;
    if (!keys.includes(id)) return this.#readEndedState(id);
    if (keys.includes(getCancelKey(id))) return JobState.Cancelled;
    return state === undefined ? JobState.Pending : JobState.Running;
  }

  /** Reads the state in which a submission ended. */
  async #readEndedState(id: string): Promise<JobState | LookupFault> {
    const page = await this.#store.read({
      table: ENDED_TABLE,
      part: getIntakePart(id),
      from: id,
      limit: 1,
    });
    if (page.isErr()) return LookupFault.Unavailable;
    const row = page.value.rows.find(({ key }) => key === id);
    if (row === undefined || decodeRefusal(row.value) !== undefined) return LookupFault.NotFound;
    return decodeEndedJob(row.value)?.state ?? LookupFault.Unavailable;
  }

  /** Reads the keys of a submission and its cancel request; undefined if the read fails. */
  async #readIntakeKeys(id: string): Promise<string[] | undefined> {
    const page = await this.#store.read({
      table: INTAKE_TABLE,
      part: getIntakePart(id),
      from: id,
      limit: 2,
    });
    return page.isErr() ? undefined : page.value.rows.map(({ key }) => key);
  }
}
