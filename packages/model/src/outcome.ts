/** What is known about the execution of a caller's request. */
export enum Outcome {
  /** A target received the request and answered it. */
  Ran = 'ran',
  /** No byte of the request left for a target, or the target itself said so. */
  NotRun = 'not-run',
  /** Bytes left for a target and no whole answer came back. */
  Unknown = 'unknown',
}

/** Header that carries the outcome of a request. */
export const OUTCOME_HEADER = 'currantgap-outcome';

/** Header that carries the id of a request to a target and back. */
export const REQUEST_ID_HEADER = 'x-request-id';

/** Header by which a caller states how many milliseconds its answer is worth waiting for. */
export const TIMEOUT_HEADER = 'currantgap-timeout-ms';
