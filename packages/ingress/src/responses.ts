import { createFault, FaultKind, formatFault, JobState, type Fault } from '@currantgap/model';
import type { JsonResponse } from './exchange.ts';
import { WriteOutcome } from './intake-writer.ts';

/** Value of `retry-after` in seconds: by then another node or a probe of this one has served. */
const RETRY_AFTER_S = 1;
/** Builds the response to a write whose outcome is known or not; `refusedMessage` says what did not run. */
export function buildWriteResponse(outcome: WriteOutcome, refusedMessage: string): JsonResponse {
  if (outcome === WriteOutcome.Refused) return buildUnavailable(refusedMessage);
  // An attempt through another node may still replace the refusal, so that nothing more is known.
  const isUnknown = outcome === WriteOutcome.Unknown || outcome === WriteOutcome.Withdrawn;
  if (!isUnknown) return { status: 200, body: { state: JobState.Pending } };
  const remedy = 'Send it again with the same id.';
  return buildRefusal(504, FaultKind.OutcomeUnknown, 'Whether it was stored is not known.', remedy);
}

/** Builds a 503: the request did not run, and another node or a later try may serve it. */
export function buildUnavailable(message: string): JsonResponse {
  const remedy = `Come back in ${RETRY_AFTER_S} s.`;
  return {
    ...buildRefusal(503, FaultKind.Unavailable, message, remedy),
    retryAfterS: RETRY_AFTER_S,
  };
}

/** Builds a 429: the submission was refused for load. */
export function buildOverloaded(retryAfterS: number): JsonResponse {
  const message = 'The submission cannot be served in time and will not run.';
  const remedy = `Send it again in ${retryAfterS} s.`;
  return { ...buildRefusal(429, FaultKind.Overloaded, message, remedy), retryAfterS };
}

/** Builds a 410: there is no such submission. */
export function buildNotFound(): JsonResponse {
  return buildRefusal(410, FaultKind.NotFound, 'There is no such submission.', 'Check the id.');
}

/** Builds a refusal with its problem and its remedy. */
export function buildRefusal(
  status: number,
  kind: FaultKind,
  message: string,
  remedy: string,
): JsonResponse {
  return buildFaultResponse(status, createFault(kind, message, remedy));
}

/** Builds a refusal from a fault. */
export function buildFaultResponse(status: number, fault: Fault): JsonResponse {
  return { status, body: { error: formatFault(fault) } };
}
