import { FaultKind, OUTCOME_HEADER, type Fault, type Outcome } from '@currantgap/model';
import type { ServerResponse } from 'node:http';

const STATUS_BY_KIND: Readonly<Record<FaultKind, number>> = {
  [FaultKind.InvalidSettings]: 500,
  [FaultKind.InvalidDocument]: 422,
  [FaultKind.InvalidRequest]: 400,
  [FaultKind.Unauthorised]: 401,
  [FaultKind.NotFound]: 404,
  [FaultKind.Conflict]: 409,
  [FaultKind.Unavailable]: 503,
  [FaultKind.Overloaded]: 429,
  [FaultKind.DeadlineExceeded]: 504,
  [FaultKind.OutcomeUnknown]: 502,
};

/** Gets the HTTP status code for a kind of fault. */
export function getHttpStatus(kind: FaultKind): number {
  return STATUS_BY_KIND[kind];
}

/**
 * Sends a fault as a problem document (RFC 9457), with the outcome in a header. Does nothing when
 * the response has been started or the caller has disconnected.
 */
export function sendRefusal(response: ServerResponse, fault: Fault, outcome: Outcome): void {
  if (response.headersSent || response.destroyed) return;
  const status = getHttpStatus(fault.kind);
  const body = JSON.stringify({
    type: `urn:currantgap:${fault.kind}`,
    title: fault.message,
    status,
    detail: fault.remedy,
    outcome,
  });
  response.writeHead(status, {
    'content-type': 'application/problem+json',
    'content-length': Buffer.byteLength(body),
    [OUTCOME_HEADER]: outcome,
  });
  response.end(body);
}
