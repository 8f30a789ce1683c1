/** Whether a caller's request was executed, as far as is known. */
export enum Outcome {
  /** A target received the request and answered it. */
  Ran = 'ran',
  /** No byte was sent to a target, or the target reported that it did not run the request. */
  NotRun = 'not-run',
  /** Bytes were sent to a target, but no complete response was received. */
  Unknown = 'unknown',
}

/** Response header with the outcome of a request. */
export const OUTCOME_HEADER = 'currantgap-outcome';

/** Header with the id of a request, sent to the target and returned in its response. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** Request header in which a caller sets its timeout in milliseconds. */
export const TIMEOUT_HEADER = 'currantgap-timeout-ms';
