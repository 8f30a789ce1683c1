import { setTimeout as sleep } from 'node:timers/promises';

const POLL_MS = 5;
/**
 * Milliseconds after which a wait is given up, as long as a step of a feature may take: node:test has
 * no time limit of its own, and a test that waits for ever tells less than one that fails.
 */
const MAXIMUM_WAIT_MS = 120_000;

/** Polls until a condition holds; throws if it does not hold in time. */
export async function waitUntil(
  isMet: () => boolean,
  maximumWaitMs = MAXIMUM_WAIT_MS,
): Promise<void> {
  const endsAt = performance.now() + maximumWaitMs;
  while (!isMet()) {
    if (performance.now() > endsAt)
      throw new Error(
        `the condition does not hold after ${maximumWaitMs} ms; see which event before it is missing`,
      );
    await sleep(POLL_MS);
  }
}
