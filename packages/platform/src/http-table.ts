import { createFault, FaultKind, type Fault, type Random } from '@currantgap/model';
import type { Clock } from '@currantgap/tasks';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';
import { CircuitBreaker } from './breaker.ts';
import { RateBudget } from './budget.ts';
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
/** The service promises that it applied nothing when it answers so. */
const STATUS_UNAVAILABLE = 503;
const MAXIMUM_ATTEMPTS = 4;
const FIRST_BACKOFF_MS = 20;
const WRITES_PER_SECOND = 40;
const WRITE_BURST = 80;

/** Options of the table client. */
export interface HttpTableOptions {
  readonly client: HttpClient;
  readonly clock: Clock;
  readonly random: Random;
}

/** The table service over HTTP with JSON bodies. */
export class HttpTableService extends TableService {
  readonly #client: HttpClient;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #breaker: CircuitBreaker;
  readonly #budget: RateBudget;

  constructor(options: HttpTableOptions) {
    super();
    this.#client = options.client;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#breaker = new CircuitBreaker({ clock: options.clock });
    this.#budget = new RateBudget({
      clock: options.clock,
      perSecond: WRITES_PER_SECOND,
      burst: WRITE_BURST,
    });
  }

  async read(keys: readonly string[]): Promise<Result<readonly Row[], Fault>> {
    const answer = await this.#post('/read', { keys }, rowsSchema);
    return answer.map((body) => body.rows).mapErr(toUnavailable);
  }

  async list(options: ScanOptions): Promise<Result<readonly Row[], Fault>> {
    const answer = await this.#post('/scan', options, rowsSchema);
    return answer.map((body) => body.rows).mapErr(toUnavailable);
  }

  async apply(transaction: Transaction): Promise<Result<CommitResult, Fault>> {
    if (!this.#budget.take()) return err(createBudgetFault());
    let hasSent = false;
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      if (attempt > 0) await this.#clock.wait(this.#clock.now + this.#computeBackoff(attempt));
      const answer = await this.#post('/commit', transaction, commitSchema);
      if (answer.isOk()) {
        return this.#resolve(transaction, answer.value.result, hasSent);
      }
      hasSent ||= answer.error.kind === FaultKind.OutcomeUnknown;
    }
    return hasSent ? this.#readBack(transaction) : err(createUnavailableFault());
  }

  /** A conflict after a lost answer may be with the transaction's own first arrival. */
  async #resolve(
    transaction: Transaction,
    result: CommitResult,
    hasLostAnswer: boolean,
  ): Promise<Result<CommitResult, Fault>> {
    if (result === CommitResult.Committed || !hasLostAnswer) return ok(result);
    const readBack = await this.read([transaction.witness]);
    if (readBack.isErr()) return err(createUnknownFault());
    return ok(isWrittenBy(readBack.value, transaction) ? CommitResult.Committed : result);
  }

  async #readBack(transaction: Transaction): Promise<Result<CommitResult, Fault>> {
    const readBack = await this.read([transaction.witness]);
    if (readBack.isErr()) return err(createUnknownFault());
    if (isWrittenBy(readBack.value, transaction)) return ok(CommitResult.Committed);
    return err(createUnknownFault());
  }

  async #post<T>(path: string, body: unknown, schema: z.ZodType<T>): Promise<Result<T, Fault>> {
    if (!this.#breaker.canCall()) return err(createUnavailableFault());
    const answer = await this.#client.send({ method: 'POST', path, body: JSON.stringify(body) });
    this.#breaker.record(answer.isOk() && answer.value.status === STATUS_OK);
    if (answer.isErr()) return err(answer.error);
    if (answer.value.status === STATUS_UNAVAILABLE) return err(createUnavailableFault());
    if (answer.value.status !== STATUS_OK) return err(createUnknownFault());
    return parseBody(answer.value.body, schema);
  }

  #computeBackoff(attempt: number): number {
    return FIRST_BACKOFF_MS * 2 ** attempt * (0.5 + this.#random.drawFraction());
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
