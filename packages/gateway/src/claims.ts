import { createFault, FaultKind, type Fault } from '@currantgap/model';
import { ABSENT_VERSION, CommitResult, type Row, type TableService } from '@currantgap/platform';
import type { Clock } from '@currantgap/tasks';
import { randomUUID } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';

/** What a claim row says about its request. */
export enum ClaimState {
  /** Claimed; the request may run or have run. */
  Pending = 'pending',
  Ran = 'ran',
  Unknown = 'unknown',
  /** It surely did not run; the key may be claimed again. */
  Released = 'released',
}

/** A claim that this entry has made. */
export interface Claim {
  readonly key: string;
  /** Version of the row as the claim left it. */
  readonly version: number;
}

/** The answer to a claim: made, or held by an earlier request in some state. */
export type ClaimResult = { readonly claim: Claim } | { readonly existingState: ClaimState };

interface Pending {
  readonly key: string;
  readonly version: number;
  readonly resolve: (answer: Result<ClaimResult, Fault>) => void;
}

/** Milliseconds over which claims are gathered into one write. */
const GROUP_MS = 5;
/** Claims written in one transaction, at most. */
const MAXIMUM_GROUP = 64;

const rowSchema = z.object({ state: z.enum(ClaimState) });

/**
 * Claims of idempotency keys, as rows that are inserted if absent. A claim is made before the
 * first byte of its request leaves for a target, so that no other entry sends it too.
 */
export class ClaimStore {
  readonly #table: TableService;
  readonly #clock: Clock;
  #pending: Pending[] = [];
  #isScheduled = false;

  constructor(table: TableService, clock: Clock) {
    this.#table = table;
    this.#clock = clock;
  }

  /** Claims a key. Fails when it is not known whether the claim was made. */
  async claim(key: string): Promise<Result<ClaimResult, Fault>> {
    return this.#enqueue(key, ABSENT_VERSION);
  }

  /** Records how the request of a claim ended; a lost record leaves the claim pending. */
  async recordState(claim: Claim, state: ClaimState): Promise<void> {
    await this.#table.apply({
      nonce: randomUUID(),
      conditions: [{ key: claim.key, version: claim.version }],
      writes: [{ key: claim.key, value: JSON.stringify({ state }) }],
      witness: claim.key,
    });
  }

  async #enqueue(key: string, version: number): Promise<Result<ClaimResult, Fault>> {
    if (this.#pending.some((pending) => pending.key === key)) {
      return ok({ existingState: ClaimState.Pending });
    }
    return new Promise((resolve) => {
      this.#pending.push({ key, version, resolve });
      this.#schedule();
    });
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    this.#clock.schedule(this.#clock.now + GROUP_MS, () => {
      this.#isScheduled = false;
      const group = this.#pending.splice(0, MAXIMUM_GROUP);
      if (this.#pending.length > 0) this.#schedule();
      void this.#write(group);
    });
  }

  async #write(group: readonly Pending[]): Promise<void> {
    const [first] = group;
    if (first === undefined) return;
    const result = await this.#table.apply({
      nonce: randomUUID(),
      conditions: group.map(({ key, version }) => ({ key, version })),
      writes: group.map(({ key }) => ({
        key,
        value: JSON.stringify({ state: ClaimState.Pending }),
      })),
      witness: first.key,
    });
    if (result.isErr()) {
      for (const { resolve } of group) resolve(err(createClaimFault()));
    } else if (result.value === CommitResult.Committed) {
      for (const { key, version, resolve } of group) {
        resolve(ok({ claim: { key, version: version + 1 } }));
      }
    } else {
      await this.#separate(group);
    }
  }

  /** After a conflict: answers for the keys that are held and claims the others again. */
  async #separate(group: readonly Pending[]): Promise<void> {
    const rows = await this.#table.read(group.map(({ key }) => key));
    if (rows.isErr()) {
      for (const { resolve } of group) resolve(err(createClaimFault()));
      return;
    }
    const free: Pending[] = [];
    group.forEach((pending, index) => {
      const row = rows.value[index];
      const existingState = row === undefined ? ClaimState.Pending : parseState(row);
      if (existingState !== ClaimState.Released) pending.resolve(ok({ existingState }));
      else free.push({ ...pending, version: row?.version ?? ABSENT_VERSION });
    });
    await this.#write(free);
  }
}

function parseState(row: Row): ClaimState {
  if (row.version === ABSENT_VERSION) return ClaimState.Released;
  return rowSchema.parse(JSON.parse(row.value)).state;
}

function createClaimFault(): Fault {
  return createFault(
    FaultKind.Unavailable,
    'The idempotency key could not be claimed, so the request was not run.',
    'Send it again with the same key when the table service answers.',
  );
}
