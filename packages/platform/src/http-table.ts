import { createFault, FaultKind, type Fault, type Random } from '@currantgap/model';
import type { Clock } from '@currantgap/tasks';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { CircuitBreaker } from './breaker.ts';
import { TokenBucket } from './token-bucket.ts';
import type { HttpClient } from './http-client.ts';
import {
  CommitResult,
  TableService,
  type Row,
  type ScanOptions,
  type Transaction,
} from './table.ts';

const rowSchema = z.object({
  key: z.string(),
  version: z.number(),
  value: z.string(),
  nonce: z.string(),
});
const rowsSchema = z.object({ rows: z.array(rowSchema) });
const commitSchema = z.object({ result: z.enum(CommitResult) });

const STATUS_OK = 200;
/** With this status the service guarantees that it applied nothing. */
const STATUS_UNAVAILABLE = 503;
const MAXIMUM_ATTEMPTS = 4;
/** Base of the exponential backoff: the first retry waits twice this time on average. */
const BASE_BACKOFF_MS = 20;
const WRITES_PER_SECOND = 40;
/** Writes that may be sent at once after an idle period. */
const WRITE_BURST = 80;

/** Options of the table client. */
export interface HttpTableOptions {
  readonly client: HttpClient;
  readonly clock: Clock;
  readonly random: Random;
}

/** Client of the table service over HTTP with JSON bodies. */
export class HttpTableService extends TableService {
  readonly #client: HttpClient;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #breaker: CircuitBreaker;
  readonly #writeBudget: TokenBucket;

  constructor(options: HttpTableOptions) {
    super();
    this.#client = options.client;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#breaker = new CircuitBreaker({ clock: options.clock });
    this.#writeBudget = new TokenBucket({
      clock: options.clock,
      perSecond: WRITES_PER_SECOND,
      burst: WRITE_BURST,
    });
  }

  async read(keys: readonly string[]): Promise<Result<readonly Row[], Fault>> {
    const response = await this.#post('/read', { keys }, rowsSchema);
    return response.map((body) => body.rows).mapErr(toUnavailable);
  }

  async list(options: ScanOptions): Promise<Result<readonly Row[], Fault>> {
    const response = await this.#post('/scan', options, rowsSchema);
    return response.map((body) => body.rows).mapErr(toUnavailable);
  }

  async apply(transaction: Transaction): Promise<Result<CommitResult, Fault>> {
    if (!this.#writeBudget.take()) return err(createBudgetFault());
    let hasUncertainAttempt = false;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      if (attempt > 0) await this.#clock.wait(this.#clock.now + this.#computeBackoffMs(attempt));
      const response = await this.#post('/commit', transaction, commitSchema);
      if (response.isOk()) {
        return this.#resolveResult(transaction, response.value.result, hasUncertainAttempt);
      }
      hasUncertainAttempt ||= response.error.kind === FaultKind.OutcomeUnknown;
    }
    return hasUncertainAttempt ? this.#readResult(transaction) : err(createUnavailableFault());
  }

  /**
   * Determines the result of a transaction whose last attempt got a response. After an attempt with
   * an unknown outcome, a conflict may come from the transaction itself, because that attempt may
   * have been applied.
   */
  async #resolveResult(
    transaction: Transaction,
    result: CommitResult,
    hasUncertainAttempt: boolean,
  ): Promise<Result<CommitResult, Fault>> {
    if (result === CommitResult.Committed || !hasUncertainAttempt) return ok(result);
    const rows = await this.read([transaction.witness]);
    if (rows.isErr()) return err(createUnknownFault());
    return ok(isWrittenBy(rows.value, transaction) ? CommitResult.Committed : result);
  }

  /** Reads the witness row to determine whether a transaction with unknown outcome took effect. */
  async #readResult(transaction: Transaction): Promise<Result<CommitResult, Fault>> {
    const rows = await this.read([transaction.witness]);
    if (rows.isErr()) return err(createUnknownFault());
    if (isWrittenBy(rows.value, transaction)) return ok(CommitResult.Committed);
    return err(createUnknownFault());
  }

  async #post<T>(path: string, body: unknown, schema: z.ZodType<T>): Promise<Result<T, Fault>> {
    if (!this.#breaker.canCall()) return err(createUnavailableFault());
    const response = await this.#client.send({ method: 'POST', path, body: JSON.stringify(body) });
    this.#breaker.recordOutcome(response.isOk() && response.value.status === STATUS_OK);
    if (response.isErr()) return err(response.error);
    if (response.value.status === STATUS_UNAVAILABLE) return err(createUnavailableFault());
    if (response.value.status !== STATUS_OK) return err(createUnknownFault());
    return parseBody(response.value.body, schema);
  }

  #computeBackoffMs(attempt: number): number {
    return BASE_BACKOFF_MS * 2 ** attempt * (0.5 + this.#random.drawFraction());
  }
}

function parseBody<T>(body: string, schema: z.ZodType<T>): Result<T, Fault> {
  try {
    return ok(schema.parse(JSON.parse(body)));
  } catch {
    return err(createUnknownFault());
  }
}

function isWrittenBy(rows: readonly Row[], transaction: Transaction): boolean {
  return rows.some((row) => row.key === transaction.witness && row.nonce === transaction.nonce);
}

function toUnavailable(fault: Fault): Fault {
  return { ...fault, kind: FaultKind.Unavailable };
}

function createUnavailableFault(): Fault {
  return createFault(
    FaultKind.Unavailable,
    'The table service does not answer.',
    'Repeat the command when the platform reports it up again.',
  );
}

function createBudgetFault(): Fault {
  return createFault(
    FaultKind.Unavailable,
    'The write budget of this entry is spent.',
    'Repeat the command in a second, or send it to another entry.',
  );
}

function createUnknownFault(): Fault {
  return createFault(
    FaultKind.OutcomeUnknown,
    'The answer of the table service was lost.',
    'Show the present state before repeating the command.',
  );
}
