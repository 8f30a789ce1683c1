import { StoreFaultKind } from '@currantgap/store';
import { findCurrentVersion, putLease } from './renewal.ts';

/** Outcome of a release that was stored. */
export const RELEASE_WRITTEN = 'written';
/** Attempts at releasing the lease; a renewal in flight may overtake the first one. */
const RELEASE_ATTEMPTS = 3;

/**
 * Writes a released lease; a renewal that was still in flight may change the row before. Returns
 * `RELEASE_WRITTEN` or the message of the fault.
 */
export async function writeRelease(
  options: Parameters<typeof putLease>[0],
  value: string,
): Promise<string> {
  let { version } = options;
  let outcome = '';
  for (let attempt = 0; attempt < RELEASE_ATTEMPTS; attempt += 1) {
    const result = await putLease({ ...options, version }, value);
    if (result.isOk()) return RELEASE_WRITTEN;
    outcome = result.error.message;
    if (result.error.kind !== StoreFaultKind.Conflict) continue;
    const current = findCurrentVersion(result.error, options.fenceVersion);
    if (current === undefined) return outcome;
    version = current;
  }
  return outcome;
}
