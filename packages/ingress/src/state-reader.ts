import { getCancelKey, getIntakePart, INTAKE_TABLE, LEDGER_TABLE } from '@currantgap/execution';
import { readLedgerState } from '@currantgap/jobs';
import { JobState } from '@currantgap/model';
import { OWNER_PART } from '@currantgap/ownership';
import type { Store } from '@currantgap/store';

/** What the owner says of a submission. */
export enum OwnerAnswer {
  /** It does not know the submission, or not yet. */
  Unknown = 'unknown',
  /** There is no owner to be reached. */
  Unreachable = 'unreachable',
}

/** Asks the owner, wherever it runs. */
export abstract class OwnerPort {
  abstract findState(id: string): Promise<JobState | OwnerAnswer>;
  /** Counts a route's submissions of which no task has started; undefined without an answer. */
  abstract countWaiting(route: string): Promise<number | undefined>;
}

/** What a caller is told of a submission. */
export enum LookupFault {
  NotFound = 'not-found',
  Unavailable = 'unavailable',
}

/** Finds the state of submissions: from the owner, or else from the store. */
export class StateReader {
  readonly #owner: OwnerPort;
  readonly #store: Store;

  constructor(owner: OwnerPort, store: Store) {
    this.#owner = owner;
    this.#store = store;
  }

  async findState(id: string): Promise<JobState | LookupFault> {
    const answer = await this.#owner.findState(id);
    if (answer !== OwnerAnswer.Unknown && answer !== OwnerAnswer.Unreachable) return answer;
    return this.#readState(id);
  }

  /** Tells whether a submission is stored. */
  async isStored(id: string): Promise<boolean | LookupFault.Unavailable> {
    const rows = await this.#readIntake(id);
    return rows === undefined ? LookupFault.Unavailable : rows.includes(id);
  }

  /** The ledger is read first: what it says was true, and it never goes back. */
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
    const keys = await this.#readIntake(id);
    if (keys === undefined) return LookupFault.Unavailable;
    if (!keys.includes(id)) return LookupFault.NotFound;
    if (keys.includes(getCancelKey(id))) return JobState.Cancelled;
    return state === undefined ? JobState.Pending : JobState.Running;
  }

  async #readIntake(id: string): Promise<string[] | undefined> {
    const page = await this.#store.read({
      table: INTAKE_TABLE,
      part: getIntakePart(id),
      from: id,
      limit: 2,
    });
    return page.isErr() ? undefined : page.value.rows.map(({ key }) => key);
  }
}
