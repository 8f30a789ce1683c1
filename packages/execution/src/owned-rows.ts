import { OWNER_PART } from '@currantgap/ownership';
import { readAll, type Row, type Store } from '@currantgap/store';
import { setTimeout as sleep } from 'node:timers/promises';

/** Milliseconds before a read that failed at the start of a term is tried again. */
const READ_RETRY_MS = 150;

/** Reads what earlier terms wrote into a table; empty where the term has ended meanwhile. */
export async function readOwned(
  store: Store,
  table: string,
  isWanted: () => boolean,
): Promise<readonly Row[]> {
  while (isWanted()) {
    const page = await readAll(store, table, OWNER_PART);
    if (page.isOk()) return page.value.rows;
    await sleep(READ_RETRY_MS);
  }
  return [];
}
