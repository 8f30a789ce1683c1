import { OWNER_PART } from '@currantgap/ownership';
import { readAll, type Row, type Store } from '@currantgap/store';
import { setTimeout as sleep } from 'node:timers/promises';

/** Milliseconds before a failed read at the start of a term is retried. */
const READ_RETRY_MS = 150;

/** Reads the rows that earlier terms wrote to a table; empty if the term ends before that. */
export async function readOwnerRows(
  store: Store,
  table: string,
  isActive: () => boolean,
): Promise<readonly Row[]> {
  while (isActive()) {
    const page = await readAll(store, table, OWNER_PART);
    if (page.isOk()) return page.value.rows;
    await sleep(READ_RETRY_MS);
  }
  return [];
}
