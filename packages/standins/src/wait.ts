import { setTimeout as sleep } from 'node:timers/promises';

const POLL_MS = 5;

/** Polls without a timeout until a condition holds; the time limit of the test ends the wait. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) await sleep(POLL_MS);
}
