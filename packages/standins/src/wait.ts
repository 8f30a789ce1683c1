import { setTimeout as sleep } from 'node:timers/promises';

const POLL_MS = 5;

/** Polls until a condition holds. Has no timeout of its own; the test runner's limit applies. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) await sleep(POLL_MS);
}
