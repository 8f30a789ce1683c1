import { createFault, FaultKind, type Fault } from '@currantgap/model';
import { CommitResult, type Row, type TableService } from '@currantgap/platform';
import { randomUUID } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { RowNames } from './rows.ts';
import { formatView, parseView, type View } from './view.ts';
import { parseHead, type Head } from './head.ts';

/** View as stored, with the row versions on which the next write is conditioned. */
export interface StoredView {
  readonly view: View;
  readonly version: number;
  readonly headVersion: number;
  readonly head: Head;
}

/** Reads and writes the view row. */
export class ViewStore {
  readonly #table: TableService;
  readonly #rows: RowNames;

  constructor(table: TableService, rows: RowNames) {
    this.#table = table;
    this.#rows = rows;
  }

  /** Reads the view. Fails with `Unavailable`. */
  async read(): Promise<Result<StoredView, Fault>> {
    const rows = await this.#table.read([this.#rows.view, this.#rows.head]);
    return rows.andThen(parseRows);
  }

  /**
   * Writes the next view, on condition that neither the view nor the head of the change log has
   * changed since `current` was read. The view records the sequence of that head, because an entry
   * that serves under the new epoch must have applied every change accepted before it. Fails with
   * `Conflict`, `Unavailable` or `OutcomeUnknown`.
   */
  async write(current: StoredView, next: View): Promise<Result<View, Fault>> {
    const view = { ...next, sequence: current.head.sequence };
    const result = await this.#table.apply({
      nonce: randomUUID(),
      conditions: [
        { key: this.#rows.view, version: current.version },
        { key: this.#rows.head, version: current.headVersion },
      ],
      writes: [{ key: this.#rows.view, value: formatView(view) }],
      witness: this.#rows.view,
    });
    if (result.isErr()) return err(result.error);
    return result.value === CommitResult.Committed ? ok(view) : err(createConflictFault());
  }
}

function parseRows(rows: readonly Row[]): Result<StoredView, Fault> {
  const [viewRow, headRow] = rows;
  if (viewRow === undefined || headRow === undefined) return err(createConflictFault());
  return ok({
    view: parseView(viewRow.value),
    version: viewRow.version,
    headVersion: headRow.version,
    head: parseHead(headRow.value),
  });
}

function createConflictFault(): Fault {
  return createFault(FaultKind.Conflict, 'The view moved meanwhile.', 'Read it and try again.');
}
