import { createFault, FaultKind, type Fault } from '@currantgap/model';
import { ABSENT_VERSION, CommitResult, type Row, type TableService } from '@currantgap/platform';
import type { Clock } from '@currantgap/tasks';
import { randomUUID } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';

/** State of a claimed request, as stored in its claim row. */
export enum ClaimState {
  /** The key is claimed; the request may be running or may have run. */
  Pending = 'pending',
  Ran = 'ran',
  /** The request may or may not have run. */
  Unknown = 'unknown',
  /** The request definitely did not run; the key can be claimed again. */
  Released = 'released',
}

/** A claim of an idempotency key, made by this entry. */
export interface Claim {
  readonly key: string;
  /** Version of the claim row after the claim was written. */
  readonly version: number;
}

/** The result of claiming a key: a new claim, or the state of an earlier request with this key. */
export type ClaimResult = { readonly claim: Claim } | { readonly existingState: ClaimState };

/** A claim that is waiting to be written, or is being written. */
interface PendingClaim {
  readonly key: string;
  /** Version that the claim row must have for the claim to succeed. */
  readonly version: number;
  readonly resolve: (result: Result<ClaimResult, Fault>) => void;
}

/** Milliseconds during which claims are collected into one batch. */
const BATCH_DELAY_MS = 5;
/** Maximum number of claims written in one transaction. */
const MAXIMUM_BATCH_SIZE = 64;

const rowSchema = z.object({ state: z.enum(ClaimState) });

/**
 * Stores claims of idempotency keys as rows of the table service, which are inserted only if
 * absent. A key is claimed before the first byte of its request is sent to a target, so that no
 * other entry sends the same request.
 */
export class ClaimStore {
  readonly #table: TableService;
  readonly #clock: Clock;
  #pending: PendingClaim[] = [];
  #isScheduled = false;

  constructor(table: TableService, clock: Clock) {
    this.#table = table;
    this.#clock = clock;
  }

  /** Claims a key. Fails with `Unavailable` when the claim is not known to have been written. */
  async claim(key: string): Promise<Result<ClaimResult, Fault>> {
    return this.#enqueue(key, ABSENT_VERSION);
  }

  /** Records the final state of a claimed request. If the write fails, the claim stays pending. */
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
    this.#clock.schedule(this.#clock.now + BATCH_DELAY_MS, () => {
      this.#isScheduled = false;
      const batch = this.#pending.splice(0, MAXIMUM_BATCH_SIZE);
      if (this.#pending.length > 0) this.#schedule();
      void this.#write(batch);
    });
  }

  async #write(batch: readonly PendingClaim[]): Promise<void> {
    const [first] = batch;
    if (first === undefined) return;
    const result = await this.#table.apply({
      nonce: randomUUID(),
      conditions: batch.map(({ key, version }) => ({ key, version })),
      writes: batch.map(({ key }) => ({
        key,
        value: JSON.stringify({ state: ClaimState.Pending }),
      })),
      witness: first.key,
    });
    if (result.isErr()) {
      for (const { resolve } of batch) resolve(err(createClaimFault()));
    } else if (result.value === CommitResult.Committed) {
      for (const { key, version, resolve } of batch) {
        resolve(ok({ claim: { key, version: version + 1 } }));
      }
    } else {
      await this.#resolveConflict(batch);
    }
  }

  /**
   * Handles a conflict in a batch: resolves the keys that are claimed already with their existing
   * state, and claims the others again.
   */
  async #resolveConflict(batch: readonly PendingClaim[]): Promise<void> {
    const rows = await this.#table.read(batch.map(({ key }) => key));
    if (rows.isErr()) {
      for (const { resolve } of batch) resolve(err(createClaimFault()));
      return;
    }
    const unclaimed: PendingClaim[] = [];
    batch.forEach((pending, index) => {
      const row = rows.value[index];
      const existingState = row === undefined ? ClaimState.Pending : parseState(row);
      if (existingState !== ClaimState.Released) pending.resolve(ok({ existingState }));
      else unclaimed.push({ ...pending, version: row?.version ?? ABSENT_VERSION });
    });
    await this.#write(unclaimed);
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
