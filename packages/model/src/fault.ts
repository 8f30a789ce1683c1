/** Kinds of failure that callers of a package can tell apart. */
export enum FaultKind {
  InvalidSettings = 'invalid-settings',
  InvalidDocument = 'invalid-document',
  InvalidRequest = 'invalid-request',
  Unauthorised = 'unauthorised',
  NotFound = 'not-found',
  Conflict = 'conflict',
  Unavailable = 'unavailable',
  Overloaded = 'overloaded',
  DeadlineExceeded = 'deadline-exceeded',
  OutcomeUnknown = 'outcome-unknown',
}

/** A failure with what was found and what to do about it. */
export interface Fault {
  readonly kind: FaultKind;
  /** What was found, in one sentence. */
  readonly message: string;
  /** What the reader can do next, in one sentence. */
  readonly remedy: string;
}

/** Creates a fault. */
export function createFault(kind: FaultKind, message: string, remedy: string): Fault {
  return { kind, message, remedy };
}

/** Formats a fault as one line for people. */
export function formatFault(fault: Fault): string {
  return `${fault.message} ${fault.remedy}`;
}
