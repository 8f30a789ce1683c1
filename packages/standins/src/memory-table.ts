import { createFault, FaultKind, type Fault } from '@currantgap/model';
import {
  ABSENT_VERSION,
  CommitResult,
  TableService,
  type Row,
  type ScanOptions,
  type Transaction,
} from '@currantgap/platform';
import { err, ok, type Result } from 'neverthrow';

/** Failures that the table stand-in simulates. */
export enum TableFailure {
  None = 'none',
  /** Fails every call without applying it. */
  Down = 'down',
  /** Applies writes but loses their responses. */
  ResponseLost = 'lost-answer',
}

/** In-memory stand-in of the table service that simulates failures. */
export class MemoryTable extends TableService {
  readonly #rows = new Map<string, Row>();
  failure = TableFailure.None;
  writeCount = 0;
  readCount = 0;

  async read(keys: readonly string[]): Promise<Result<readonly Row[], Fault>> {
    await Promise.resolve();
    if (this.failure === TableFailure.Down) return err(createDownFault());
    this.readCount += 1;
    return ok(keys.map((key) => this.#get(key)));
  }

  async list(options: ScanOptions): Promise<Result<readonly Row[], Fault>> {
    await Promise.resolve();
    if (this.failure === TableFailure.Down) return err(createDownFault());
    this.readCount += 1;
    const keys = [...this.#rows.keys()].filter(
      (key) => key.startsWith(options.prefix) && key > options.after,
    );
    keys.sort();
    return ok(keys.slice(0, options.limit).map((key) => this.#get(key)));
  }

  async apply(transaction: Transaction): Promise<Result<CommitResult, Fault>> {
    await Promise.resolve();
    if (this.failure === TableFailure.Down) return err(createDownFault());
    this.writeCount += 1;
    const isMet = transaction.conditions.every(
      (condition) => this.#get(condition.key).version === condition.version,
    );
    if (isMet) this.#write(transaction);
    if (this.failure === TableFailure.ResponseLost) return err(createLostFault());
    return ok(isMet ? CommitResult.Committed : CommitResult.Conflict);
  }

  #write(transaction: Transaction): void {
    for (const { key, value } of transaction.writes) {
      if (value === undefined) {
        this.#rows.delete(key);
        continue;
      }
      const version = this.#get(key).version + 1;
      this.#rows.set(key, { key, version, value, nonce: transaction.nonce });
    }
  }

  #get(key: string): Row {
    return this.#rows.get(key) ?? { key, version: ABSENT_VERSION, value: '', nonce: '' };
  }
}

function createDownFault(): Fault {
  return createFault(FaultKind.Unavailable, 'The table stand-in is down.', 'Reset its failure.');
}

function createLostFault(): Fault {
  return createFault(FaultKind.OutcomeUnknown, 'The response was lost.', 'Read the rows back.');
}
