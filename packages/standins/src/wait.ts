import { setTimeout as sleep } from 'node:timers/promises';

const LOOK_MS = 5;

/** Waits until something is true; a test that never sees it hangs until its own limit. */
export async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await sleep(LOOK_MS);
}
