import type { Result } from 'neverthrow';
import type { FeedPage, FeedQuery, Store, StoreFault } from './store.ts';

/**
 * Milliseconds after the time that a poll may wait at which its response is overdue: more than the
 * 300 ms that a slow store takes, and few enough that a feed goes on within 3 s after a disruption
 * whatever the timeout of a call has become.
 */
const OVERDUE_MS = 500;

/**
 * Polls a change feed. While the response is overdue, another poll is sent beside it, since the store
 * may have lost the first one or its connection may have fallen silent. Returns the first result.
 */
export async function pollOverlapping(
  store: Store,
  query: FeedQuery,
): Promise<Result<FeedPage, StoreFault>> {
  const abortController = new AbortController();
  const { signal } = abortController;
  return new Promise((resolve) => {
    let timer: NodeJS.Timeout | undefined;
    const finish = (result: Result<FeedPage, StoreFault>): void => {
      clearTimeout(timer);
      resolve(result);
      abortController.abort();
    };
    const send = (silentSince?: number): void => {
      const sentAt = performance.now();
      timer = setTimeout(() => {
        send(sentAt);
      }, query.waitMs + OVERDUE_MS);
      const options = silentSince === undefined ? { signal } : { signal, silentSince };
      void store.poll({ ...query, ...options }).then(finish);
    };
    send();
  });
}
