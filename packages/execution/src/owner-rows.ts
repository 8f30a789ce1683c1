import { OWNER_PART } from '@currantgap/ownership';
import { scanRows, type PageSizer, type Row, type Store } from '@currantgap/store';

/** Reads the rows that earlier terms wrote to a table; empty if the term ends before that. */
export async function readOwnerRows(
  store: Store,
  table: string,
  pageSizer: PageSizer,
  isActive: () => boolean,
): Promise<readonly Row[]> {
  const ranges = [{ table, part: OWNER_PART }];
  return (await scanRows({ store, ranges, pageSizer, isActive }))?.rows ?? [];
}
