import { describeError } from '@currantgap/model';
import type { Row } from './store.ts';

/** Applies each row by itself, so that one which cannot be applied does not keep back the others. */
export function applyRows(
  rows: readonly Row[],
  apply: (row: Row) => void,
  onFailure: (row: Row, reason: string) => void,
): void {
  for (const row of rows) {
    try {
      apply(row);
    } catch (error) {
      onFailure(row, describeError(error));
    }
  }
}
