/** Milliseconds from the first submissions of a rise until it is detected. */
const DETECTION_MS = 400;
/** Milliseconds from the end of a move until the target of the VM gets work. */
const REGISTRATION_MS = 600;
/** Part of the slack that is used up by the start of tasks on VMs that are there, in milliseconds. */
const START_RESERVE_MS = 300;
/** Time over which the size that operators gave a pool fades as a guess of its demand. */
const GUESS_LIFETIME_MS = 120_000;
/** Part of the guess that demand must reach to replace it. */
const PROVEN_SHARE = 0.5;

/** Computes the time from a rise in demand until moved VMs serve it, in milliseconds. */
export function computeBringUpMs(moveMs: number): number {
  return DETECTION_MS + moveMs + REGISTRATION_MS;
}

/** Whether submissions with this slack can wait for VMs that are moved to their pool. */
export function canWait(slackMs: number, bringUpMs: number): boolean {
  return computeStandbyShare(slackMs, bringUpMs) <= 0;
}

/**
 * Computes the part of the height of demand for which a pool must have room before demand rises. If
 * a part `c` of the rise is served at once and the rest waits for moved VMs, the last submission
 * before these arrive waits `(1 - c) * bringUpMs`, which must not exceed its slack.
 */
export function computeStandbyShare(slackMs: number, bringUpMs: number): number {
  const usableMs = Math.max(0, slackMs - START_RESERVE_MS);
  return Math.max(0, 1 - usableMs / bringUpMs);
}

/** What is known about the demand of a pool when its standby is computed. */
export interface StandbyInputs {
  /** Mean slack of its submissions; undefined while it is not known. */
  readonly slackMs: number | undefined;
  readonly bringUpMs: number;
  /** VMs that the highest demand seen fills, without persistent tasks. */
  readonly heightVms: number;
  /** VMs that the persistent tasks fill. */
  readonly persistentLoadVms: number;
  /** VMs that operators or an earlier owner gave the pool. */
  readonly givenVms: number;
  /** Time since demand was first seen in the deployment, in milliseconds. */
  readonly ageMs: number;
}

/**
 * Computes how many VMs a pool keeps for a rise of demand. Until its demand has shown its height, or
 * that its callers can wait, the pool keeps the VMs that it was given, which fade slowly.
 */
export function computeStandbyVms(inputs: StandbyInputs): number {
  const { slackMs, bringUpMs, heightVms, persistentLoadVms, givenVms, ageMs } = inputs;
  const guessVms = givenVms * Math.max(0, 1 - ageMs / GUESS_LIFETIME_MS);
  if (slackMs === undefined) return guessVms;
  const share = computeStandbyShare(slackMs, bringUpMs);
  if (share <= 0) return persistentLoadVms;
  const seenVms = persistentLoadVms + share * heightVms;
  const isProven = persistentLoadVms + heightVms >= PROVEN_SHARE * givenVms;
  return isProven ? seenVms : Math.max(seenVms, guessVms);
}
