import { createFault, FaultKind, type Fault } from '@currantgap/model';
import { CommitResult, type Row, type TableService } from '@currantgap/platform';
import { randomUUID } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { RowNames } from './rows.ts';
import { formatView, parseView, type View } from './view.ts';
import { parseHead, type Head } from './head.ts';

/** A view together with the row versions on which a move of it depends. */
export interface StoredView {
  readonly view: View;
  readonly version: number;
  readonly headVersion: number;
  readonly head: Head;
}

/** Reads and moves the view row. */
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
   * Moves the view row. The move holds on the condition that neither the view nor the head of the
   * change log moved since `from` was read, and records that head: whoever serves under the new
   * epoch must have applied every change accepted before it. Fails with `Conflict`,
   * `Unavailable` or `OutcomeUnknown`.
   */
  async write(from: StoredView, next: View): Promise<Result<View, Fault>> {
    const view = { ...next, sequence: from.head.sequence };
    const result = await this.#table.apply({
      nonce: randomUUID(),
      conditions: [
        { key: this.#rows.view, version: from.version },
        { key: this.#rows.head, version: from.headVersion },
      ],
      writes: [{ key: this.#rows.view, value: formatView(view) }],
      witness: this.#rows.view,
    });
    if (result.isErr()) return err(result.error);
    return result.value === CommitResult.Committed ? ok(view) : err(createMovedFault());
  }
}

function parseRows(rows: readonly Row[]): Result<StoredView, Fault> {
  const [viewRow, headRow] = rows;
  if (viewRow === undefined || headRow === undefined) return err(createMovedFault());
  return ok({
    view: parseView(viewRow.value),
    version: viewRow.version,
    headVersion: headRow.version,
    head: parseHead(headRow.value),
  });
}

function createMovedFault(): Fault {
  return createFault(FaultKind.Conflict, 'The view moved meanwhile.', 'Read it and try again.');
}
