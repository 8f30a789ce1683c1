import { OWNER_PART } from '@currantgap/ownership';
import { scanRows, type PageSizer, type Store } from '@currantgap/store';
import { joinParts, type JoinedRow } from './row-parts.ts';

/**
 * Reads the rows that earlier terms wrote to some tables, by table; the lists are empty if the term
 * ends before that.
 */
export async function readOwnerRows(
  store: Store,
  tables: readonly string[],
  pageSizer: PageSizer,
  isActive: () => boolean,
): Promise<(table: string) => readonly JoinedRow[]> {
  const ranges = tables.map((table) => ({ table, part: OWNER_PART }));
  const result = await scanRows({ store, ranges, pageSizer, isActive });
  return (table) => joinParts(result?.rows.filter((row) => row.table === table) ?? []);
}
